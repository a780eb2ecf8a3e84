package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The peers of the primary and the heartbeat rounds that the primary has sent. */
final class PeerTable {
  private static final int MAX_ROUNDS = 256;

  private record Round(long number, long sentAtMicros) {}

  private final ReplicaContext context;
  private final Map<NodeId, Peer> peers = new TreeMap<>();
  private List<Peer> targets = List.of();
  private final Deque<Round> rounds = new ArrayDeque<>();
  private long round;
  private long leadingSinceMicros;

  PeerTable(ReplicaContext context) {
    this.context = context;
  }

  long round() {
    return round;
  }

  long leadingSinceMicros() {
    return leadingSinceMicros;
  }

  Peer of(NodeId node) {
    return peers.computeIfAbsent(node, added -> new Peer(added, context.nowMicros));
  }

  /** Returns all known nodes with an address; a node that has lost its disk is another node. */
  List<Peer> atAddress(NodeAddress address) {
    return peers.values().stream().filter(peer -> peer.node.address().equals(address)).toList();
  }

  /** Returns the location that a node has reported, or {@link NodeLocation#UNKNOWN}. */
  NodeLocation location(NodeId node) {
    Peer peer = peers.get(node);
    return peer == null ? NodeLocation.UNKNOWN : peer.location();
  }

  /**
   * Begins a term. The durable positions that peers reported in an earlier term no longer count,
   * but the time for which a peer has been unresponsive continues to count if this node was already
   * the primary.
   *
   * @param resumed whether this node was already the primary before this term
   */
  void beginTerm(boolean resumed) {
    if (!resumed) {
      leadingSinceMicros = context.nowMicros;
      peers.clear();
    }
    peers.values().forEach(Peer::beginTerm);
    review();
  }

  /** Begins a heartbeat round and records the time at which the round was sent. */
  void beginRound() {
    round++;
    rounds.addLast(new Round(round, context.nowMicros));
    if (rounds.size() > MAX_ROUNDS) {
      rounds.removeFirst();
    }
  }

  /** Records that a peer acknowledged a heartbeat round of the current term. */
  void heartbeatAcknowledged(Peer peer, long acknowledgedRound) {
    for (Round sent : rounds) {
      if (sent.number() == acknowledgedRound) {
        peer.acknowledgedSentMicros = Math.max(peer.acknowledgedSentMicros, sent.sentAtMicros());
      }
    }
  }

  /**
   * Returns the peers that receive heartbeats: as of the last review, the other witnesses of the
   * view and the nodes that sent a message within the learner timeout.
   */
  List<Peer> targets() {
    return targets;
  }

  /**
   * Updates the list of peers that receive heartbeats and their health, and removes peers that are
   * neither in the view nor recently active.
   */
  void review() {
    Set<NodeId> nodes = new TreeSet<>(context.view().witnesses());
    for (Peer peer : peers.values()) {
      if (context.nowMicros - peer.lastReceivedMicros
          < ReplicationTimeouts.LEARNER_TIMEOUT_MICROS) {
        nodes.add(peer.node);
      }
    }
    nodes.remove(context.self);
    peers.keySet().removeIf(node -> !nodes.contains(node) && !isDropCountRetained(node));
    targets = nodes.stream().map(this::of).toList();
    targets.forEach(peer -> peer.updateHealth(context.nowMicros, leadingSinceMicros));
  }

  private boolean isDropCountRetained(NodeId node) {
    return context.nowMicros - peers.get(node).droppedAtMicros
        < ReplicationTimeouts.DROP_COUNT_RETENTION_MICROS;
  }

  boolean isHealthy(Peer peer) {
    return peer.healthy(context.nowMicros, leadingSinceMicros);
  }

  /**
   * Returns whether a majority of the view's witnesses responded within the peer timeout. This node
   * counts as a witness that responds if it is one.
   */
  boolean reachesMajority() {
    View view = context.view();
    long responsiveWitnesses =
        view.witnesses().stream()
            .filter(node -> node.equals(context.self) || isResponsive(node))
            .count();
    return responsiveWitnesses >= view.majority();
  }

  private boolean isResponsive(NodeId node) {
    return of(node).microsSinceAcknowledgement(context.nowMicros, leadingSinceMicros)
        < ReplicationTimeouts.PEER_TIMEOUT_MICROS;
  }

  /**
   * Returns whether a majority of the witnesses replied to this heartbeat round or a later one
   * without having accepted a newer view.
   */
  boolean isConfirmedByMajority(long round) {
    View view = context.view();
    boolean selfConfirms = view.hasWitness(context.self) && !context.witness.hasAccepted();
    long confirmingPeers =
        view.witnesses().stream()
            .filter(node -> !node.equals(context.self))
            .filter(node -> of(node).confirmedRound >= round)
            .count();
    return confirmingPeers + (selfConfirms ? 1 : 0) >= view.majority();
  }
}
