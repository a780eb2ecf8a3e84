package slateslip.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The role of a view's primary: replicates and commits records, and monitors the health of the
 * view.
 */
final class PrimaryRole {
  private final ReplicaContext context;
  private final PeerTable peers;
  private final PendingRequests requests;
  private boolean leading;
  private boolean active;
  private PrimaryTerm term = PrimaryTerm.NONE;
  private long termStartSequence;
  private long lastRoundMicros;
  private long resignedUntilMicros;
  private long lastViewChangeMicros;
  private long lastReviewMicros;
  private boolean reviewDue;

  PrimaryRole(ReplicaContext context, PeerTable peers, PendingRequests requests) {
    this.context = context;
    this.peers = peers;
    this.requests = requests;
  }

  boolean leading() {
    return leading;
  }

  /** Returns the newest term in which this node was the primary, or {@link PrimaryTerm#NONE}. */
  PrimaryTerm term() {
    return term;
  }

  /**
   * Returns whether this node is the primary, reaches a majority of the witnesses and has not
   * resigned.
   */
  boolean active() {
    return leading && active;
  }

  /**
   * Begins a new term as the primary of the newest view. The view must name this node as its
   * primary.
   */
  void begin() {
    peers.beginTerm(leading);
    leading = true;
    active = true;
    term = context.store.installed().next(context.view().epoch());
    StateTransfer own = context.store.transferFrom(context.store.appliedSequence());
    context.store.beginTerm(term);
    context.write(new DurableRecord.Installation(term, own), own.bytes(), () -> {});
    termStartSequence = context.store.lastSequence();
    beginRound();
  }

  /** Ends the term if this node is the primary, and responds to the pending requests of clients. */
  void end(Optional<NodeAddress> successor) {
    if (leading) {
      leading = false;
      active = false;
      requests.stepDown(successor);
    }
  }

  /**
   * Returns whether this node responds to clients: it is an active primary, every member has
   * installed the term's initial state, and all records of earlier terms are applied.
   */
  boolean serving() {
    return active() && allInstalled() && context.store.appliedSequence() >= termStartSequence;
  }

  private boolean selfInstalled() {
    return context.durableWrites.durable().term().equals(term);
  }

  private boolean allInstalled() {
    return selfInstalled() && committable(termStartSequence);
  }

  /**
   * Returns whether every member has the record with this sequence number on disk, and the members
   * survive each tolerated loss.
   */
  private boolean committable(long sequence) {
    View view = context.view();
    return selfInstalled()
        && context.durableWrites.durable().sequence() >= sequence
        && view.members().stream()
            .map(ViewMember::node)
            .filter(node -> !node.equals(context.self))
            .allMatch(node -> peers.of(node).hasDurable(term, sequence))
        && context.tolerance().survives(memberLocations());
  }

  private List<NodeLocation> memberLocations() {
    return context.view().members().stream().map(ViewMember::node).map(this::location).toList();
  }

  private NodeLocation location(NodeId node) {
    return node.equals(context.self) ? context.settings.location() : peers.location(node);
  }

  /** Returns whether the placement of this primary's view survives each tolerated loss. */
  PlacementState placement() {
    if (!leading) {
      return PlacementState.NOT_PRIMARY;
    }
    if (!context.tolerance().survives(memberLocations())) {
      return PlacementState.COPIES_AT_RISK;
    }
    List<NodeLocation> witnesses = context.view().witnesses().stream().map(this::location).toList();
    return context.tolerance().majoritySurvives(witnesses)
        ? PlacementState.SURVIVES
        : PlacementState.MAJORITY_AT_RISK;
  }

  /** Handles a node's reply to a heartbeat. */
  void heartbeatReply(NodeId from, ReplicaMessage.HeartbeatReply reply) {
    if (!leading || !reply.term().equals(term)) {
      return;
    }
    Peer peer = peers.of(from);
    peer.lastReceivedMicros = context.nowMicros;
    peer.status = reply.status();
    peers.heartbeatAcknowledged(peer, reply.round());
    if (reply.status().decidedEpoch() == term.epoch() && !reply.status().acceptedNewerView()) {
      peer.confirmedRound = Math.max(peer.confirmedRound, reply.round());
    }
    resendIfLost(peer, reply.round());
    peer.updateAwaitingDurable(term);
  }

  private void resendIfLost(Peer peer, long round) {
    boolean sentBefore = peer.sentTerm.equals(term) && peer.sentRound < round;
    if (!sentBefore || peer.inTransfer(context.nowMicros)) {
      return;
    }
    boolean lost =
        !peer.status.receivedTerm().equals(term)
            || peer.status.receivedSequence() < peer.sentSequence;
    if (lost) {
      install(peer);
    }
  }

  /**
   * Records the progress of a message to a node. Progress extends the time for the write to disk.
   */
  void transferProgressed(NodeAddress to, boolean inTransfer) {
    peers
        .atAddress(to)
        .forEach(peer -> peer.transferProgressed(inTransfer, peers.round(), context.nowMicros));
  }

  /** Handles a node's report of the last record that the node has on disk. */
  void synced(NodeId from, ReplicaMessage.Synced message) {
    if (!leading || !message.term().equals(term)) {
      return;
    }
    Peer peer = peers.of(from);
    if (peer.status != null) {
      peer.status = peer.status.withDurable(message.term(), message.sequence());
      peer.updateAwaitingDurable(term);
    }
  }

  /** Replies with a heartbeat to a node that has no primary and asks for the view. */
  void hello(NodeId from, ReplicaStatus status) {
    Peer peer = peers.of(from);
    peer.lastReceivedMicros = context.nowMicros;
    if (peer.status == null) {
      peer.status = status;
      peers.review();
    }
    heartbeat(peer);
  }

  /**
   * Performs all work of the primary that is due: reviews, heartbeats, replication, commits and
   * responses to clients.
   *
   * @param proposing whether a proposal of a new view is in progress; the primary appends no record
   *     meanwhile
   */
  void advance(boolean proposing) {
    if (!leading) {
      return;
    }
    if (context.nowMicros - lastReviewMicros >= ReplicationTimeouts.REVIEW_INTERVAL_MICROS) {
      review();
    }
    if (context.nowMicros - lastRoundMicros >= ReplicationTimeouts.HEARTBEAT_INTERVAL_MICROS) {
      beginRound();
    }
    if (selfInstalled()) {
      peers.targets().forEach(this::replicate);
    }
    commit();
    if (serving()) {
      requests.confirmed(peers);
      if (!proposing) {
        appendNext();
      }
    }
    requests.expire();
    if (requests.pollHeartbeatRoundRequest()) {
      beginRound();
    }
  }

  private void review() {
    lastReviewMicros = context.nowMicros;
    reviewDue = true;
    peers.review();
    boolean resigned = context.nowMicros < resignedUntilMicros;
    active = peers.reachesMajority() && !resigned;
  }

  private void beginRound() {
    peers.beginRound();
    lastRoundMicros = context.nowMicros;
    peers.targets().forEach(this::heartbeat);
  }

  private void heartbeat(Peer peer) {
    boolean hasCurrentView = peer.status != null && peer.status.decidedEpoch() == term.epoch();
    View view = hasCurrentView ? View.NONE : context.view();
    context.outbox.send(
        peer.node.address(),
        new ReplicaMessage.Heartbeat(
            term, peers.round(), context.store.appliedSequence(), active, view));
  }

  private void replicate(Peer peer) {
    if (peer.status == null) {
      return;
    }
    long newest = context.store.lastSequence();
    if (!peer.sentTerm.equals(term)) {
      install(peer);
    } else if (context.store.hasPending() && peer.sentSequence == newest - 1) {
      append(peer);
    } else if (peer.sentSequence < newest) {
      install(peer); // The peer missed records that were committed while the peer was unresponsive.
    }
  }

  private void install(Peer peer) {
    StateTransfer transfer = context.store.transferFrom(peer.status.committedSequence());
    context.outbox.send(peer.node.address(), new ReplicaMessage.Install(term, transfer));
    sent(peer, transfer.bytes());
  }

  private void append(Peer peer) {
    byte[] record = context.store.pending();
    context.outbox.send(
        peer.node.address(),
        new ReplicaMessage.Append(
            term, context.store.lastSequence(), context.store.appliedSequence(), record));
    sent(peer, record.length);
  }

  private void sent(Peer peer, long bytes) {
    peer.sent(term, context.store.lastSequence(), peers.round(), bytes, context.nowMicros);
  }

  private void commit() {
    if (!context.store.hasPending() || !committable(context.store.lastSequence())) {
      return;
    }
    context.store.commitTo(context.store.lastSequence());
    requests.committed();
    beginRound();
  }

  private void appendNext() {
    if (context.store.hasPending()) {
      return;
    }
    Optional<byte[]> record = requests.nextRecord(peers.round());
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

  /**
   * Returns whether the view should be changed. The check runs at most once for each review;
   * otherwise the result is false.
   */
  boolean needsViewChange() {
    if (!reviewDue) {
      return false;
    }
    reviewDue = false;
    return newerViewAccepted() || nextView().isPresent();
  }

  /**
   * Returns the view that should replace the current one, or empty if the current view is adequate
   * or a change is not allowed yet.
   */
  Optional<View> nextView() {
    if (!active()
        || !selfInstalled()
        || context.nowMicros - lastViewChangeMicros
            < ReplicationTimeouts.MIN_VIEW_CHANGE_INTERVAL_MICROS) {
      return Optional.empty();
    }
    ObservedNodes nodes =
        new ObservedNodes(context.self, context.settings.location(), peerHealth());
    return MembershipPolicy.nextViewOfPrimary(context.view(), nodes, context.tolerance());
  }

  /**
   * Returns whether a witness has accepted a newer view of which this node does not know whether
   * the view was decided.
   */
  private boolean newerViewAccepted() {
    return context.witness.hasAccepted()
        || peers.targets().stream()
            .filter(peer -> context.view().hasWitness(peer.node))
            .anyMatch(this::hasAcceptedNewerView);
  }

  private boolean hasAcceptedNewerView(Peer peer) {
    return peer.status != null
        && peer.status.acceptedNewerView()
        && peer.status.decidedEpoch() == context.view().epoch();
  }

  private List<PeerHealth> peerHealth() {
    List<PeerHealth> peerHealth = new ArrayList<>();
    for (Peer peer : peers.targets()) {
      peerHealth.add(
          new PeerHealth(
              peer.node,
              peers.isHealthy(peer),
              peer.hasDurable(term, termStartSequence),
              peer.hasDurable(term, context.store.lastSequence()),
              peer.unresponsiveMicros(context.nowMicros),
              peer.healthyMicros(context.nowMicros),
              peer.joinDelayMicros(),
              peer.location()));
    }
    return peerHealth;
  }

  /** Records the drop of each member of the previous view that is not a member of the new view. */
  void viewDecided(View before, View after) {
    lastViewChangeMicros = context.nowMicros;
    before.members().stream()
        .map(ViewMember::node)
        .filter(node -> !after.hasMember(node))
        .forEach(node -> peers.of(node).recordDrop(context.nowMicros));
  }

  /**
   * Transfers the leadership to another healthy member if the disk of this node does not work or
   * the process has been asked to end.
   */
  void resignIfUnhealthy() {
    if (!leading || context.healthy() || context.nowMicros < resignedUntilMicros) {
      return;
    }
    context.view().members().stream()
        .map(ViewMember::node)
        .filter(node -> !node.equals(context.self))
        .map(peers::of)
        .filter(peers::isHealthy)
        .findFirst()
        .ifPresent(this::resignTo);
  }

  private void resignTo(Peer successor) {
    resignedUntilMicros = context.nowMicros + ReplicationTimeouts.RESIGNATION_MICROS;
    active = false;
    context.outbox.send(
        successor.node.address(), new ReplicaMessage.TransferLeadership(context.view().epoch()));
    beginRound();
  }
}
