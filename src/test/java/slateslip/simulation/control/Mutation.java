package slateslip.simulation.control;

import java.util.List;
import java.util.Optional;
import slateslip.coordination.Ballot;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.ReplicaMessage;
import slateslip.coordination.View;
import slateslip.coordination.WitnessState;
import slateslip.simulation.SimulatedDisk;

/** A fault in the protocol, put in to see that the checks find it. */
enum Mutation {
  /** The protocol as it is. */
  NONE,
  /** Writes are said to be durable before they are synced. */
  ACKNOWLEDGES_BEFORE_SYNC,
  /** A proposer does not learn of the view that a witness has accepted. */
  IGNORES_ACCEPTED_VIEW,
  /** A witness forgets its votes at a restart. */
  FORGETS_VOTES,
  /** A member acknowledges records of an epoch that it has left. */
  ACKNOWLEDGES_OLD_EPOCH;

  /** Kinds of faults that bring it to light. */
  List<Fault.Kind> kinds() {
    return switch (this) {
      case IGNORES_ACCEPTED_VIEW, FORGETS_VOTES ->
          List.of(
              Fault.Kind.KILL,
              Fault.Kind.CRASH_AT_MESSAGES,
              Fault.Kind.CRASH_PRIMARY_THEN_AT_MESSAGES);
      case ACKNOWLEDGES_OLD_EPOCH -> List.of(Fault.Kind.ISOLATE_PRIMARY);
      default -> Fault.kinds();
    };
  }

  /** Changes what a disk does. */
  void apply(SimulatedDisk disk) {
    if (this == ACKNOWLEDGES_BEFORE_SYNC) {
      disk.lie();
    }
  }

  /** Changes a message on its way. */
  ReplicaMessage pass(ReplicaMessage message) {
    if (this == IGNORES_ACCEPTED_VIEW && message instanceof ReplicaMessage.Promise promise) {
      return new ReplicaMessage.Promise(
          promise.baseEpoch(), promise.ballot(), Ballot.NONE, View.NONE, promise.status());
    }
    return message;
  }

  /** Changes what a disk gives back. */
  DurableRecord recovered(DurableRecord record) {
    if (this != FORGETS_VOTES) {
      return record;
    }
    if (record instanceof DurableRecord.Vote vote) {
      return new DurableRecord.Vote(WitnessState.decided(vote.witness().decided()));
    }
    if (record instanceof DurableRecord.Snapshot snapshot) {
      return new DurableRecord.Snapshot(
          snapshot.self(),
          WitnessState.decided(snapshot.witness().decided()),
          snapshot.installedTerm(),
          snapshot.state());
    }
    return record;
  }

  /** What a node wrongly answers to a message of an epoch before its own. */
  Optional<ReplicaMessage> wrongResponse(ReplicaMessage message, long epoch) {
    boolean old = message instanceof ReplicaMessage.Append append && append.term().epoch() < epoch;
    if (this == ACKNOWLEDGES_OLD_EPOCH && old) {
      ReplicaMessage.Append append = (ReplicaMessage.Append) message;
      return Optional.of(new ReplicaMessage.Synced(append.term(), append.sequence()));
    }
    return Optional.empty();
  }
}
