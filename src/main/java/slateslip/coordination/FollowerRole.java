package slateslip.coordination;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** What every node but the active primary does: follows, asks for the view, takes over. */
final class FollowerRole {
  private static final long NEVER = Long.MIN_VALUE / 4;

  private final ReplicaContext context;
  private long primaryHeardAt = NEVER;
  private long patientSince;
  private long takeOverSpread;
  private long helloAt;
  private long consentedEpoch;

  FollowerRole(ReplicaContext context) {
    this.context = context;
  }

  void start() {
    patientSince = context.now + ReplicationTimeouts.START_GRACE;
    drawSpread();
  }

  /** A newer view is known; its primary has yet to be heard. */
  void viewChanged() {
    primaryHeardAt = NEVER;
    patientSince = context.now;
    drawSpread();
  }

  private void drawSpread() {
    takeOverSpread = context.randomBetween(0, ReplicationTimeouts.TAKEOVER_STEP / 2);
  }

  /** Whether the view's primary was heard so lately that others' proposals are refused. */
  boolean primaryAlive() {
    return context.now - primaryHeardAt < ReplicationTimeouts.PRIMARY_ALIVE;
  }

  /** The primary's address, if it seems to be there. */
  Optional<NodeAddress> primary() {
    return primaryAlive() ? Optional.of(context.view().primary().address()) : Optional.empty();
  }

  /** A heartbeat of the newest view's primary. */
  void heartbeat(NodeId from, ReplicaMessage.Heartbeat message) {
    if (message.active()) {
      primaryHeardAt = context.now;
      patientSince = context.now;
    }
    if (message.tenure().equals(context.store.installed())) {
      context.store.commitTo(message.committedSequence());
    }
    context.outbox.send(
        from.address(),
        new ReplicaMessage.HeartbeatReply(message.tenure(), message.round(), context.status()));
  }

  void install(ReplicaMessage.Install message) {
    if (!follows(message.tenure())) {
      return;
    }
    boolean changes =
        !message.tenure().equals(context.store.installed())
            || message.state().lastSequence() > context.store.lastSequence();
    if (context.store.install(message.tenure(), message.state()) && changes) {
      context.write(
          new DurableRecord.Installation(message.tenure(), message.state()),
          message.state().bytes(),
          () -> {});
    }
  }

  void append(ReplicaMessage.Append message) {
    if (!follows(message.tenure()) || !message.tenure().equals(context.store.installed())) {
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

  /** Whether this tenure is of the newest view, and no later one has been accepted. */
  private boolean follows(PrimaryTerm tenure) {
    return tenure.epoch() == context.view().epoch() && !context.witness.hasAccepted();
  }

  /** Something more is on disk. */
  void durable() {
    PrimaryTerm tenure = context.disk.durable().tenure();
    if (follows(tenure)) {
      context.outbox.send(
          context.view().primary().address(),
          new ReplicaMessage.Synced(tenure, context.disk.durable().sequence()));
    }
  }

  void takeOver(NodeId from, ReplicaMessage.TransferLeadership message) {
    if (from.equals(context.view().primary()) && message.epoch() == context.view().epoch()) {
      consentedEpoch = message.epoch();
    }
  }

  /** Whether the primary has resigned in favour of this node. */
  boolean consented() {
    return consentedEpoch == context.view().epoch() && consentedEpoch > 0;
  }

  /** Whether this node should try to lead the next view. */
  boolean wantsToLead() {
    View view = context.view();
    return view.mayLeadNext(context.self, context.disk.durable().tenure().epoch())
        && context.fit()
        && (consented() || context.now >= takeOverAt());
  }

  private long takeOverAt() {
    View view = context.view();
    int rank = 0;
    for (ViewMember member : view.members()) {
      if (member.node().equals(context.self)) {
        break;
      }
      rank += member.node().equals(view.primary()) ? 0 : 1;
    }
    return patientSince
        + ReplicationTimeouts.SILENCE
        + rank * ReplicationTimeouts.TAKEOVER_STEP
        + takeOverSpread;
  }

  /** Asks for the view if the primary is silent. */
  void askForView() {
    boolean silent = context.now - primaryHeardAt > ReplicationTimeouts.HELLO_AFTER;
    if (!silent || context.now < helloAt) {
      return;
    }
    helloAt = context.now + ReplicationTimeouts.HELLO_INTERVAL;
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
