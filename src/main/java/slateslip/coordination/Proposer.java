package slateslip.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Proposes the view of the next epoch to the witnesses of the newest decided view, in two phases as
 * in Paxos.
 */
final class Proposer {
  /** Supplies the view to propose, and receives the view that was decided. */
  interface Host {
    /**
     * Returns the view to propose if no witness has accepted a view before, or empty to abandon the
     * proposal.
     */
    Optional<View> valueToPropose(View base, Map<NodeId, ReplicaMessage.Promise> promises);

    /**
     * Handles the decision of a view, which a majority of the witnesses of the base view have
     * accepted.
     */
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

  /** Returns whether no proposal is in progress and the backoff delay has passed. */
  boolean ready() {
    return !busy && context.nowMicros >= nextAttemptMicros;
  }

  /**
   * Returns the steady time in microseconds at which the next timer of the proposer expires.
   * Without a proposal in progress, that is the end of the backoff delay, which may have passed
   * already.
   */
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
   * Begins a proposal. The witness of this node receives the ballot first: after the promise of
   * that witness is on disk, this node does not use the same ballot again after a restart.
   *
   * @param primaryConsents whether the primary of the base view proposes or has resigned in favor
   *     of this node
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

  /**
   * Abandons the proposal and delays the next proposal by the minimum delay and a random backoff,
   * both in microseconds.
   */
  void abandon(long minDelayMicros) {
    busy = false;
    long backoff =
        context.randomBetween(
            ReplicationTimeouts.MIN_BACKOFF_MICROS, ReplicationTimeouts.MAX_BACKOFF_MICROS);
    nextAttemptMicros = context.nowMicros + minDelayMicros + backoff;
  }

  /**
   * Ends a proposal in progress because a newer view was adopted; the next proposal may begin at
   * once.
   */
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

  /**
   * Chooses the proposed view as soon as enough promises have arrived, and abandons a proposal that
   * exceeds its timeout.
   */
  void tick() {
    if (!busy) {
      return;
    }
    if (context.nowMicros - startedMicros > ReplicationTimeouts.PROPOSAL_TIMEOUT_MICROS) {
      abandon(0);
      return;
    }
    if (value.isNone() && promises.size() >= base.majority() && promisesSuffice()) {
      proposeValue();
    }
  }

  private boolean promisesSuffice() {
    boolean allMembers =
        base.members().stream().allMatch(member -> promises.containsKey(member.node()));
    return allMembers
        || context.nowMicros - majorityMicros >= ReplicationTimeouts.PROMISE_GRACE_MICROS;
  }

  private void proposeValue() {
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

  /**
   * Returns the view accepted under the highest ballot, or empty if no witness has accepted a view.
   * That view may already be decided, so the proposer must propose it again.
   */
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
