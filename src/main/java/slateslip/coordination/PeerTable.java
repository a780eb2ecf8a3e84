package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The other nodes as the primary sees them, and its rounds of heartbeats. */
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

  /**
   * Begins a term: what nodes have on disk of an earlier one doesn't count, their inactivity does.
   *
   * @param resumed whether this node has led until now
   */
  void beginTerm(boolean resumed) {
    if (!resumed) {
      leadingSinceMicros = context.nowMicros;
      peers.clear();
    }
    peers.values().forEach(Peer::beginTerm);
    review();
  }

  /** Opens a round. */
  void beginRound() {
    round++;
    rounds.addLast(new Round(round, context.nowMicros));
    if (rounds.size() > MAX_ROUNDS) {
      rounds.removeFirst();
    }
  }

  /** A node answered a round of this term. */
  void heartbeatAcknowledged(Peer peer, long acknowledgedRound) {
    for (Round sent : rounds) {
      if (sent.number() == acknowledgedRound) {
        peer.acknowledgedSentMicros = Math.max(peer.acknowledgedSentMicros, sent.sentAtMicros());
      }
    }
  }

  /** The view's other nodes, and those heard of late, as of the last review. */
  List<Peer> targets() {
    return targets;
  }

  /** Finds out anew who is in the view or was heard of late, and forgets others. */
  void review() {
    Set<NodeId> nodes = new TreeSet<>(context.view().witnesses());
    for (Peer peer : peers.values()) {
      if (context.nowMicros - peer.lastHeardMicros < ReplicationTimeouts.LEARNER_TIMEOUT_MICROS) {
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

  /** Whether a majority of the view's witnesses, this node among them, has answered of late. */
  boolean hearsMajority() {
    View view = context.view();
    long heardWitnesses =
        view.witnesses().stream()
            .filter(node -> node.equals(context.self) || isHeard(node))
            .count();
    return heardWitnesses >= view.majority();
  }

  private boolean isHeard(NodeId node) {
    return of(node).microsSinceAcknowledgement(context.nowMicros, leadingSinceMicros)
        < ReplicationTimeouts.PEER_TIMEOUT_MICROS;
  }

  /** Whether a majority answered that round or a later one and has accepted no later view. */
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
