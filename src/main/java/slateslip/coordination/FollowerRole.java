package slateslip.coordination;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** What every node but the active primary does: follows, asks for the view, takes over. */
final class FollowerRole {
  private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

  private final ReplicaContext context;
  private long primaryHeardMicros = NEVER_MICROS;
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

  /** A newer view is known; its primary has yet to be heard. */
  void viewChanged() {
    primaryHeardMicros = NEVER_MICROS;
    failoverTimerMicros = context.nowMicros;
    drawFailoverJitter();
  }

  private void drawFailoverJitter() {
    failoverJitterMicros =
        context.randomBetween(0, ReplicationTimeouts.FAILOVER_STAGGER_MICROS / 2);
  }

  /** Whether the view's primary was heard so lately that others' proposals are refused. */
  boolean primaryAlive() {
    return context.nowMicros - primaryHeardMicros < ReplicationTimeouts.PRIMARY_TIMEOUT_MICROS;
  }

  /** The primary's address, if it seems to be there. */
  Optional<NodeAddress> primary() {
    return primaryAlive() ? Optional.of(context.view().primary().address()) : Optional.empty();
  }

  /** A heartbeat of the newest view's primary. */
  void heartbeat(NodeId from, ReplicaMessage.Heartbeat message) {
    if (message.active()) {
      primaryHeardMicros = context.nowMicros;
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

  /** Whether this term is of the newest view, and no later one has been accepted. */
  private boolean follows(PrimaryTerm term) {
    return term.epoch() == context.view().epoch() && !context.witness.hasAccepted();
  }

  /** Something more is on disk. */
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

  /** Whether the primary has resigned in favour of this node. */
  boolean holdsTransferredLeadership() {
    return transferredEpoch == context.view().epoch() && transferredEpoch > 0;
  }

  /** Whether this node should try to lead the next view. */
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

  /** Asks for the view if the primary is unresponsive. */
  void requestView() {
    boolean primaryUnresponsive =
        context.nowMicros - primaryHeardMicros > ReplicationTimeouts.HELLO_DELAY_MICROS;
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
