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
    Optional<View> ownValue(View base, Map<NodeId, ReplicaMessage.Promise> promises);

    /** A majority of the base's witnesses accepted the view. */
    void decided(View base, View view);
  }

  private final ReplicaContext context;
  private final Host host;
  private final Map<NodeId, ReplicaMessage.Promise> promises = new HashMap<>();
  private final Set<NodeId> accepts = new HashSet<>();
  private final Set<NodeId> refusals = new HashSet<>();
  private boolean busy;
  private boolean consented;
  private View base = View.NONE;
  private Ballot ballot = Ballot.NONE;
  private View value = View.NONE;
  private long startedAt;
  private long majorityAt;
  private long nextAttemptAt;
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
    return !busy && context.now >= nextAttemptAt;
  }

  /** When something is due without a message; a time far away if nothing is. */
  long dueAt() {
    if (!busy) {
      return nextAttemptAt;
    }
    boolean waits = value.isNone() && promises.size() >= base.majority();
    return waits
        ? majorityAt + ReplicationTimeouts.PROMISE_GRACE
        : startedAt + ReplicationTimeouts.PROPOSAL_BOUND;
  }

  /**
   * Begins a proposal. The own witness is asked first: once its promise is on disk, no later life
   * of this node uses the ballot again.
   */
  void begin(boolean primaryConsents) {
    busy = true;
    consented = primaryConsents;
    base = context.view();
    value = View.NONE;
    promises.clear();
    accepts.clear();
    refusals.clear();
    startedAt = context.now;
    highestRound = Math.max(highestRound, context.witness.promised().round()) + 1;
    ballot = new Ballot(highestRound, context.self);
    context.outbox.send(
        context.self.address(), new ReplicaMessage.Prepare(base, ballot, consented));
  }

  /** Gives up a proposal and waits before the next one. */
  void abandon(long leastPause) {
    busy = false;
    long backoff =
        context.randomBetween(ReplicationTimeouts.BACKOFF_LEAST, ReplicationTimeouts.BACKOFF_MOST);
    nextAttemptAt = context.now + leastPause + backoff;
  }

  /** A newer view is known. */
  void viewChanged() {
    busy = false;
    nextAttemptAt = context.now;
  }

  void promise(NodeId from, ReplicaMessage.Promise message) {
    if (!concerns(from, message.baseEpoch(), message.ballot()) || !value.isNone()) {
      return;
    }
    promises.put(from, message);
    if (from.equals(context.self)) {
      toOthers(new ReplicaMessage.Prepare(base, ballot, consented));
    }
    if (promises.size() == base.majority()) {
      majorityAt = context.now;
    }
    tick();
  }

  void accepted(NodeId from, ReplicaMessage.Accepted message) {
    if (!concerns(from, message.baseEpoch(), message.ballot()) || value.isNone()) {
      return;
    }
    accepts.add(from);
    if (accepts.size() >= base.majority()) {
      busy = false;
      host.decided(base, value);
    }
  }

  void refused(NodeId from, ReplicaMessage.Rejected message) {
    if (!concerns(from, message.baseEpoch(), message.ballot())) {
      return;
    }
    highestRound = Math.max(highestRound, message.promised().round());
    if (!message.primaryAlive()) {
      abandon(0);
      return;
    }
    refusals.add(from);
    if (base.witnesses().size() - refusals.size() < base.majority()) {
      abandon(ReplicationTimeouts.REFUSED_PAUSE);
    }
  }

  private boolean concerns(NodeId from, long baseEpoch, Ballot of) {
    return busy && baseEpoch == base.epoch() && of.equals(ballot) && base.hasWitness(from);
  }

  /** Chooses the value when it is time, and gives up a proposal that takes too long. */
  void tick() {
    if (!busy) {
      return;
    }
    if (context.now - startedAt > ReplicationTimeouts.PROPOSAL_BOUND) {
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
    return allMembers || context.now - majorityAt >= ReplicationTimeouts.PROMISE_GRACE;
  }

  private void choose() {
    Optional<View> chosen = newestAccepted();
    if (chosen.isEmpty()) {
      chosen = host.ownValue(base, promises);
    }
    if (chosen.isEmpty()) {
      abandon(0);
      return;
    }
    value = chosen.get();
    ReplicaMessage accept = new ReplicaMessage.Accept(base.epoch(), ballot, value);
    context.outbox.send(context.self.address(), accept);
    toOthers(accept);
  }

  /** A value that a witness has accepted may have been decided: it must be taken. */
  private Optional<View> newestAccepted() {
    return promises.values().stream()
        .filter(promise -> !promise.accepted().isNone())
        .max((one, other) -> one.acceptedBallot().compareTo(other.acceptedBallot()))
        .map(ReplicaMessage.Promise::accepted);
  }

  private void toOthers(ReplicaMessage message) {
    base.witnesses().stream()
        .filter(node -> !node.equals(context.self))
        .forEach(node -> context.outbox.send(node.address(), message));
  }
}
