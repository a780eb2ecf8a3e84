package slateslip.coordination;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The role of every node except the primary: follows the primary, asks for the newest view, and
 * takes over after a failure of the primary.
 */
final class FollowerRole {
  private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

  private final ReplicaContext context;
  private long lastHeartbeatMicros = NEVER_MICROS;
  private long failoverTimerMicros;
  private long failoverJitterMicros;
  private long nextHelloMicros;
  private long transferredEpoch;

  FollowerRole(ReplicaContext context) {
    this.context = context;
  }

  void start() {
    failoverTimerMicros = context.nowMicros + ReplicationTimeouts.STARTUP_GRACE_MICROS;
    drawFailoverJitter();
  }

  /**
   * Resets the timers after a newer view was adopted, from whose primary no heartbeat has arrived
   * yet.
   */
  void viewChanged() {
    lastHeartbeatMicros = NEVER_MICROS;
    failoverTimerMicros = context.nowMicros;
    drawFailoverJitter();
  }

  private void drawFailoverJitter() {
    failoverJitterMicros =
        context.randomBetween(0, ReplicationTimeouts.FAILOVER_STAGGER_MICROS / 2);
  }

  /**
   * Returns whether a heartbeat of the view's active primary arrived within the primary timeout;
   * during that time the witness rejects proposals of other nodes.
   */
  boolean primaryAlive() {
    return context.nowMicros - lastHeartbeatMicros < ReplicationTimeouts.PRIMARY_TIMEOUT_MICROS;
  }

  /** Returns the address of the primary, or empty if the primary is not known to be alive. */
  Optional<NodeAddress> primary() {
    return primaryAlive() ? Optional.of(context.view().primary().address()) : Optional.empty();
  }

  /** Handles a heartbeat of the primary of the newest view and replies to the heartbeat. */
  void heartbeat(NodeId from, ReplicaMessage.Heartbeat message) {
    if (message.active()) {
      lastHeartbeatMicros = context.nowMicros;
      failoverTimerMicros = context.nowMicros;
    }
    if (message.term().equals(context.store.installed())) {
      context.store.commitTo(message.committedSequence());
    }
    context.outbox.send(
        from.address(),
        new ReplicaMessage.HeartbeatReply(message.term(), message.round(), context.status()));
  }

  void install(ReplicaMessage.Install message) {
    if (!follows(message.term())) {
      return;
    }
    boolean changes =
        !message.term().equals(context.store.installed())
            || message.state().lastSequence() > context.store.lastSequence();
    if (context.store.install(message.term(), message.state()) && changes) {
      context.write(
          new DurableRecord.Installation(message.term(), message.state()),
          message.state().bytes(),
          () -> {});
    }
  }

  void append(ReplicaMessage.Append message) {
    if (!follows(message.term()) || !message.term().equals(context.store.installed())) {
      return;
    }
    if (context.store.append(message.sequence(), message.committedSequence(), message.record())) {
      context.write(
          new DurableRecord.Entry(
              message.sequence(), message.committedSequence(), message.record()),
          message.record().length,
          () -> {});
    }
  }

  /**
   * Returns whether the term belongs to the newest decided view and the witness of this node has
   * accepted no later view.
   */
  private boolean follows(PrimaryTerm term) {
    return term.epoch() == context.view().epoch() && !context.witness.hasAccepted();
  }

  /**
   * Reports the newest durable position to the primary if the position belongs to the newest view.
   */
  void reportDurable() {
    PrimaryTerm term = context.durableWrites.durable().term();
    if (follows(term)) {
      context.outbox.send(
          context.view().primary().address(),
          new ReplicaMessage.Synced(term, context.durableWrites.durable().sequence()));
    }
  }

  void leadershipTransferred(NodeId from, ReplicaMessage.TransferLeadership message) {
    if (from.equals(context.view().primary()) && message.epoch() == context.view().epoch()) {
      transferredEpoch = message.epoch();
    }
  }

  /** Returns whether the primary of the newest view has transferred its leadership to this node. */
  boolean holdsTransferredLeadership() {
    return transferredEpoch == context.view().epoch() && transferredEpoch > 0;
  }

  /** Returns whether this node should propose itself as the primary of the next view. */
  boolean wantsToLead() {
    View view = context.view();
    return view.mayLeadNext(context.self, context.durableWrites.durable().term().epoch())
        && context.healthy()
        && (holdsTransferredLeadership() || context.nowMicros >= failoverAtMicros());
  }

  private long failoverAtMicros() {
    View view = context.view();
    int rank = 0;
    for (ViewMember member : view.members()) {
      if (member.node().equals(context.self)) {
        break;
      }
      rank += member.node().equals(view.primary()) ? 0 : 1;
    }
    return failoverTimerMicros
        + ReplicationTimeouts.PEER_TIMEOUT_MICROS
        + rank * ReplicationTimeouts.FAILOVER_STAGGER_MICROS
        + failoverJitterMicros;
  }

  /** Asks all known nodes for the newest view if the primary is unresponsive. */
  void requestView() {
    boolean primaryUnresponsive =
        context.nowMicros - lastHeartbeatMicros > ReplicationTimeouts.HELLO_DELAY_MICROS;
    if (!primaryUnresponsive || context.nowMicros < nextHelloMicros) {
      return;
    }
    nextHelloMicros = context.nowMicros + ReplicationTimeouts.HELLO_INTERVAL_MICROS;
    ReplicaMessage hello = new ReplicaMessage.Hello(context.view(), context.status());
    knownAddresses().forEach(address -> context.outbox.send(address, hello));
  }

  private Set<NodeAddress> knownAddresses() {
    Set<NodeAddress> addresses = new TreeSet<>(context.settings.seeds());
    context.view().witnesses().forEach(node -> addresses.add(node.address()));
    addresses.remove(context.settings.address());
    return addresses;
  }
}
