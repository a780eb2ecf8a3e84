package slateslip.simulation.control;

import java.util.List;
import java.util.Optional;
import slateslip.coordination.Ballot;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.FailureTolerance;
import slateslip.coordination.ReplicaMessage;
import slateslip.coordination.View;
import slateslip.coordination.WitnessState;
import slateslip.simulation.SimulatedDisk;

/** A deliberate defect of the protocol, which the checks of the simulation must detect. */
enum Mutation {
  /** The protocol without a defect. */
  NONE,
  /** The disk reports writes as durable before the writes are synced. */
  ACKNOWLEDGES_BEFORE_SYNC,
  /** A promise does not contain the view that the witness has accepted. */
  IGNORES_ACCEPTED_VIEW,
  /** A witness loses its votes when the witness restarts. */
  FORGETS_VOTES,
  /** A member acknowledges records of an epoch older than the member's current epoch. */
  ACKNOWLEDGES_OLD_EPOCH,
  /** Copies and witnesses are counted by the number of machines alone. */
  IGNORES_ZONES;

  /** Returns the tolerance by which the defective protocol places copies and witnesses. */
  FailureTolerance tolerance(FailureTolerance configured) {
    return this == IGNORES_ZONES ? FailureTolerance.ofMachines(configured.machines()) : configured;
  }

  /** Returns the kinds of faults that reveal the defect. */
  List<Fault.Kind> faultKinds() {
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

  /** Applies the defect to a disk if the defect concerns disks. */
  void alterDisk(SimulatedDisk disk) {
    if (this == ACKNOWLEDGES_BEFORE_SYNC) {
      disk.lie();
    }
  }

  /** Returns the message as the defective protocol sends it. */
  ReplicaMessage alterMessage(ReplicaMessage message) {
    if (this == IGNORES_ACCEPTED_VIEW && message instanceof ReplicaMessage.Promise promise) {
      return new ReplicaMessage.Promise(
          promise.baseEpoch(), promise.ballot(), Ballot.NONE, View.NONE, promise.status());
    }
    return message;
  }

  /** Returns the record as the defective protocol recovers it from disk. */
  DurableRecord alterRecoveredRecord(DurableRecord record) {
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

  /**
   * Returns the wrong response of a node to a record of an epoch older than the node's epoch, or
   * empty if the defect causes no response.
   */
  Optional<ReplicaMessage> wrongResponse(ReplicaMessage message, long epoch) {
    boolean old = message instanceof ReplicaMessage.Append append && append.term().epoch() < epoch;
    if (this == ACKNOWLEDGES_OLD_EPOCH && old) {
      ReplicaMessage.Append append = (ReplicaMessage.Append) message;
      return Optional.of(new ReplicaMessage.Synced(append.term(), append.sequence()));
    }
    return Optional.empty();
  }
}
