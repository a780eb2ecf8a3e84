package slateslip.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** What a view's primary does: replicates, commits, and watches over the view. */
final class PrimaryRole {
  private final ReplicaContext context;
  private final PeerTable peers;
  private final PendingRequests calls;
  private boolean leading;
  private boolean active;
  private PrimaryTerm tenure = PrimaryTerm.NONE;
  private long openSequence;
  private long lastRoundAt;
  private long resignedUntil;
  private long lastChangeAt;
  private long reviewedAt;
  private boolean reviewDue;

  PrimaryRole(ReplicaContext context, PeerTable peers, PendingRequests calls) {
    this.context = context;
    this.peers = peers;
    this.calls = calls;
  }

  boolean leading() {
    return leading;
  }

  /** Whether others are to see this node as a primary that goes on. */
  boolean active() {
    return leading && active;
  }

  /** Begins to lead the newest view, of which this node is the primary. */
  void begin() {
    peers.beginTenure(leading);
    leading = true;
    active = true;
    tenure = context.store.installed().next(context.view().epoch());
    StateTransfer own = context.store.transferFrom(context.store.appliedSequence());
    context.store.beginTenure(tenure);
    context.write(new DurableRecord.Installation(tenure, own), own.bytes(), () -> {});
    openSequence = context.store.lastSequence();
    beginRound();
  }

  /** Leads no longer. */
  void end(Optional<NodeAddress> successor) {
    if (leading) {
      leading = false;
      active = false;
      calls.stepDown(successor);
    }
  }

  /** Whether the node answers clients. */
  boolean serving() {
    return active() && allInstalled() && context.store.appliedSequence() >= openSequence;
  }

  private boolean selfInstalled() {
    return context.disk.durable().tenure().equals(tenure);
  }

  private boolean allInstalled() {
    return selfInstalled() && committable(openSequence);
  }

  /** Whether every member has that record on disk, and there are enough members. */
  private boolean committable(long sequence) {
    View view = context.view();
    return view.members().size() >= context.membersNeeded()
        && selfInstalled()
        && context.disk.durable().sequence() >= sequence
        && view.members().stream()
            .map(ViewMember::node)
            .filter(node -> !node.equals(context.self))
            .allMatch(node -> peers.of(node).hasDurable(tenure, sequence));
  }

  /** A node answered a heartbeat. */
  void heartbeatReply(NodeId from, ReplicaMessage.HeartbeatReply reply) {
    if (!leading || !reply.tenure().equals(tenure)) {
      return;
    }
    Peer peer = peers.of(from);
    peer.heardAt = context.now;
    peer.status = reply.status();
    peers.echoed(peer, reply.round());
    if (reply.status().decidedEpoch() == tenure.epoch() && !reply.status().acceptedLater()) {
      peer.cleanRound = Math.max(peer.cleanRound, reply.round());
    }
    resendWhatWasLost(peer, reply.round());
    peer.settle(tenure);
  }

  private void resendWhatWasLost(Peer peer, long round) {
    boolean sentBefore = peer.sentTenure.equals(tenure) && peer.sentRound < round;
    if (!sentBefore) {
      return;
    }
    boolean lost =
        !peer.status.received().equals(tenure)
            || peer.status.receivedSequence() < peer.sentSequence;
    if (lost) {
      install(peer);
    }
  }

  /** A node has something on disk. */
  void synced(NodeId from, ReplicaMessage.Synced message) {
    if (!leading || !message.tenure().equals(tenure)) {
      return;
    }
    Peer peer = peers.of(from);
    if (peer.status != null) {
      peer.status = peer.status.withDurable(message.tenure(), message.sequence());
      peer.settle(tenure);
    }
  }

  /** A node without a primary asks. */
  void hello(NodeId from, ReplicaStatus status) {
    Peer peer = peers.of(from);
    peer.heardAt = context.now;
    if (peer.status == null) {
      peer.status = status;
      peers.review();
    }
    heartbeat(peer);
  }

  /** Does all that can be done now. */
  void advance(boolean proposing) {
    if (!leading) {
      return;
    }
    if (context.now - reviewedAt >= ReplicationTimeouts.REVIEW) {
      review();
    }
    if (context.now - lastRoundAt >= ReplicationTimeouts.HEARTBEAT) {
      beginRound();
    }
    if (selfInstalled()) {
      peers.targets().forEach(this::replicate);
    }
    commit();
    if (serving()) {
      calls.confirmed(peers);
      if (!proposing) {
        appendNext();
      }
    }
    calls.expire();
    if (calls.takeRoundWanted()) {
      beginRound();
    }
  }

  private void review() {
    reviewedAt = context.now;
    reviewDue = true;
    peers.review();
    boolean resigned = context.now < resignedUntil;
    active = peers.hearsMajority() && !resigned;
  }

  private void beginRound() {
    peers.beginRound();
    lastRoundAt = context.now;
    peers.targets().forEach(this::heartbeat);
  }

  private void heartbeat(Peer peer) {
    boolean knows = peer.status != null && peer.status.decidedEpoch() == tenure.epoch();
    View view = knows ? View.NONE : context.view();
    context.outbox.send(
        peer.node.address(),
        new ReplicaMessage.Heartbeat(
            tenure, peers.round(), context.store.appliedSequence(), active, view));
  }

  private void replicate(Peer peer) {
    if (peer.status == null) {
      return;
    }
    long newest = context.store.lastSequence();
    if (!peer.sentTenure.equals(tenure)) {
      install(peer);
    } else if (context.store.hasPending() && peer.sentSequence == newest - 1) {
      append(peer);
    } else if (peer.sentSequence < newest) {
      install(peer); // records were committed while it was not heard
    }
  }

  private void install(Peer peer) {
    StateTransfer transfer = context.store.transferFrom(peer.status.committedSequence());
    context.outbox.send(peer.node.address(), new ReplicaMessage.Install(tenure, transfer));
    sent(peer, transfer.bytes());
  }

  private void append(Peer peer) {
    byte[] record = context.store.pending();
    context.outbox.send(
        peer.node.address(),
        new ReplicaMessage.Append(
            tenure, context.store.lastSequence(), context.store.appliedSequence(), record));
    sent(peer, record.length);
  }

  private void sent(Peer peer, long bytes) {
    peer.sent(tenure, context.store.lastSequence(), peers.round(), bytes, context.now);
  }

  private void commit() {
    if (!context.store.hasPending() || !committable(context.store.lastSequence())) {
      return;
    }
    context.store.commitTo(context.store.lastSequence());
    calls.committed();
    beginRound();
  }

  private void appendNext() {
    if (context.store.hasPending()) {
      return;
    }
    Optional<byte[]> record = calls.nextRecord(peers.round());
    if (record.isEmpty()) {
      return;
    }
    long sequence = context.store.lastSequence() + 1;
    long committed = context.store.appliedSequence();
    context.store.append(sequence, committed, record.get());
    context.write(
        new DurableRecord.Entry(sequence, committed, record.get()), record.get().length, () -> {});
    peers.targets().forEach(this::replicate);
  }

  /** Whether the view should be changed; found out once a review. */
  boolean wantsChange() {
    if (!reviewDue) {
      return false;
    }
    reviewDue = false;
    return laterViewAccepted() || wantedView().isPresent();
  }

  /** The view that should follow, if the present one won't do. */
  Optional<View> wantedView() {
    if (!active()
        || !selfInstalled()
        || context.now - lastChangeAt < ReplicationTimeouts.CHANGE_PAUSE) {
      return Optional.empty();
    }
    return MembershipPolicy.wantedByPrimary(
        context.view(), context.self, context.settings.faultTolerance(), standings());
  }

  /** Whether a witness has accepted a view that this node has not heard the end of. */
  private boolean laterViewAccepted() {
    return context.witness.hasAccepted()
        || peers.targets().stream()
            .filter(peer -> context.view().hasWitness(peer.node))
            .anyMatch(this::hasAcceptedLater);
  }

  private boolean hasAcceptedLater(Peer peer) {
    return peer.status != null
        && peer.status.acceptedLater()
        && peer.status.decidedEpoch() == context.view().epoch();
  }

  private List<MembershipPolicy.PeerHealth> standings() {
    List<MembershipPolicy.PeerHealth> standings = new ArrayList<>();
    for (Peer peer : peers.targets()) {
      standings.add(
          new MembershipPolicy.PeerHealth(
              peer.node,
              peers.well(peer),
              peer.hasDurable(tenure, openSequence),
              peer.hasDurable(tenure, context.store.lastSequence()),
              peer.unheardFor(context.now),
              peer.wellFor(context.now),
              peer.patience()));
    }
    return standings;
  }

  /** Notes who was dropped by a view of this node's own. */
  void viewDecided(View before, View after) {
    lastChangeAt = context.now;
    before.members().stream()
        .map(ViewMember::node)
        .filter(node -> !after.hasMember(node))
        .forEach(node -> peers.of(node).dropped(context.now));
  }

  /** Hands over to another member if the own disk doesn't work or the process is to end. */
  void resignIfUnwell() {
    if (!leading || context.fit() || context.now < resignedUntil) {
      return;
    }
    context.view().members().stream()
        .map(ViewMember::node)
        .filter(node -> !node.equals(context.self))
        .map(peers::of)
        .filter(peers::well)
        .findFirst()
        .ifPresent(this::resignTo);
  }

  private void resignTo(Peer successor) {
    resignedUntil = context.now + ReplicationTimeouts.RESIGNED;
    active = false;
    context.outbox.send(
        successor.node.address(), new ReplicaMessage.TransferLeadership(context.view().epoch()));
    beginRound();
  }
}
