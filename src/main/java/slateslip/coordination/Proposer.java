package slateslip.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Proposes the view of the next epoch to the witnesses of the newest decided one. */
final class Proposer {
  /** What the rest of the node does with a proposal. */
  interface Host {
    /** The view to propose if none was accepted before; empty to give up. */
    Optional<View> valueToPropose(View base, Map<NodeId, ReplicaMessage.Promise> promises);

    /** A majority of the base's witnesses accepted the view. */
    void decided(View base, View view);
  }

  private final ReplicaContext context;
  private final Host host;
  private final Map<NodeId, ReplicaMessage.Promise> promises = new HashMap<>();
  private final Set<NodeId> acceptedBy = new HashSet<>();
  private final Set<NodeId> rejections = new HashSet<>();
  private boolean busy;
  private boolean primaryConsents;
  private View base = View.NONE;
  private Ballot ballot = Ballot.NONE;
  private View value = View.NONE;
  private long startedMicros;
  private long majorityMicros;
  private long nextAttemptMicros;
  private long highestRound;

  Proposer(ReplicaContext context, Host host) {
    this.context = context;
    this.host = host;
  }

  boolean busy() {
    return busy;
  }

  /** Whether a proposal may begin now. */
  boolean ready() {
    return !busy && context.nowMicros >= nextAttemptMicros;
  }

  /** When something is due without a message; a time far away if nothing is. */
  long wakeAtMicros() {
    if (!busy) {
      return nextAttemptMicros;
    }
    boolean awaitsPromises = value.isNone() && promises.size() >= base.majority();
    return awaitsPromises
        ? majorityMicros + ReplicationTimeouts.PROMISE_GRACE_MICROS
        : startedMicros + ReplicationTimeouts.PROPOSAL_TIMEOUT_MICROS;
  }

  /**
   * Begins a proposal. The own witness is asked first: once its promise is on disk, no later
   * incarnation of this node uses the ballot again.
   */
  void begin(boolean primaryConsents) {
    busy = true;
    this.primaryConsents = primaryConsents;
    base = context.view();
    value = View.NONE;
    promises.clear();
    acceptedBy.clear();
    rejections.clear();
    startedMicros = context.nowMicros;
    highestRound = Math.max(highestRound, context.witness.promised().round()) + 1;
    ballot = new Ballot(highestRound, context.self);
    context.outbox.send(
        context.self.address(), new ReplicaMessage.Prepare(base, ballot, primaryConsents));
  }

  /** Gives up a proposal and waits before the next one. */
  void abandon(long minDelayMicros) {
    busy = false;
    long backoff =
        context.randomBetween(
            ReplicationTimeouts.MIN_BACKOFF_MICROS, ReplicationTimeouts.MAX_BACKOFF_MICROS);
    nextAttemptMicros = context.nowMicros + minDelayMicros + backoff;
  }

  /** A newer view is known. */
  void viewChanged() {
    busy = false;
    nextAttemptMicros = context.nowMicros;
  }

  void promise(NodeId from, ReplicaMessage.Promise message) {
    if (!isCurrent(from, message.baseEpoch(), message.ballot()) || !value.isNone()) {
      return;
    }
    promises.put(from, message);
    if (from.equals(context.self)) {
      sendToOtherWitnesses(new ReplicaMessage.Prepare(base, ballot, primaryConsents));
    }
    if (promises.size() == base.majority()) {
      majorityMicros = context.nowMicros;
    }
    tick();
  }

  void accepted(NodeId from, ReplicaMessage.Accepted message) {
    if (!isCurrent(from, message.baseEpoch(), message.ballot()) || value.isNone()) {
      return;
    }
    acceptedBy.add(from);
    if (acceptedBy.size() >= base.majority()) {
      busy = false;
      host.decided(base, value);
    }
  }

  void rejected(NodeId from, ReplicaMessage.Rejected message) {
    if (!isCurrent(from, message.baseEpoch(), message.ballot())) {
      return;
    }
    highestRound = Math.max(highestRound, message.promised().round());
    if (!message.primaryAlive()) {
      abandon(0);
      return;
    }
    rejections.add(from);
    if (base.witnesses().size() - rejections.size() < base.majority()) {
      abandon(ReplicationTimeouts.REJECTED_BACKOFF_MICROS);
    }
  }

  private boolean isCurrent(NodeId from, long baseEpoch, Ballot messageBallot) {
    return busy
        && baseEpoch == base.epoch()
        && messageBallot.equals(ballot)
        && base.hasWitness(from);
  }

  /** Chooses the value when it is time, and gives up a proposal that takes too long. */
  void tick() {
    if (!busy) {
      return;
    }
    if (context.nowMicros - startedMicros > ReplicationTimeouts.PROPOSAL_TIMEOUT_MICROS) {
      abandon(0);
      return;
    }
    if (value.isNone() && promises.size() >= base.majority() && promisesSuffice()) {
      choose();
    }
  }

  private boolean promisesSuffice() {
    boolean allMembers =
        base.members().stream().allMatch(member -> promises.containsKey(member.node()));
    return allMembers
        || context.nowMicros - majorityMicros >= ReplicationTimeouts.PROMISE_GRACE_MICROS;
  }

  private void choose() {
    Optional<View> chosen = newestAccepted();
    if (chosen.isEmpty()) {
      chosen = host.valueToPropose(base, promises);
    }
    if (chosen.isEmpty()) {
      abandon(0);
      return;
    }
    value = chosen.get();
    ReplicaMessage accept = new ReplicaMessage.Accept(base.epoch(), ballot, value);
    context.outbox.send(context.self.address(), accept);
    sendToOtherWitnesses(accept);
  }

  /** A value that a witness has accepted may have been decided: it must be taken. */
  private Optional<View> newestAccepted() {
    return promises.values().stream()
        .filter(promise -> !promise.accepted().isNone())
        .max((one, other) -> one.acceptedBallot().compareTo(other.acceptedBallot()))
        .map(ReplicaMessage.Promise::accepted);
  }

  private void sendToOtherWitnesses(ReplicaMessage message) {
    base.witnesses().stream()
        .filter(node -> !node.equals(context.self))
        .forEach(node -> context.outbox.send(node.address(), message));
  }
}
