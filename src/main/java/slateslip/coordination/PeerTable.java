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
  private static final int ROUNDS_KEPT = 256;

  private record Round(long number, long sentAt) {}

  private final ReplicaContext context;
  private final Map<NodeId, Peer> peers = new TreeMap<>();
  private List<Peer> targets = List.of();
  private final Deque<Round> rounds = new ArrayDeque<>();
  private long round;
  private long leadingSince;

  PeerTable(ReplicaContext context) {
    this.context = context;
  }

  long round() {
    return round;
  }

  long leadingSince() {
    return leadingSince;
  }

  Peer of(NodeId node) {
    return peers.computeIfAbsent(node, added -> new Peer(added, context.now));
  }

  /**
   * Begins a tenure: what nodes have on disk of an earlier one doesn't count, their silence does.
   *
   * @param resumed whether this node has led until now
   */
  void beginTenure(boolean resumed) {
    if (!resumed) {
      leadingSince = context.now;
      peers.clear();
    }
    peers.values().forEach(Peer::beginTenure);
    review();
  }

  /** Opens a round. */
  void beginRound() {
    round++;
    rounds.addLast(new Round(round, context.now));
    if (rounds.size() > ROUNDS_KEPT) {
      rounds.removeFirst();
    }
  }

  /** A node answered a round of this tenure. */
  void echoed(Peer peer, long echoedRound) {
    for (Round sent : rounds) {
      if (sent.number() == echoedRound) {
        peer.echoedSentAt = Math.max(peer.echoedSentAt, sent.sentAt());
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
      if (context.now - peer.heardAt < ReplicationTimeouts.GUEST_KEPT) {
        nodes.add(peer.node);
      }
    }
    nodes.remove(context.self);
    peers.keySet().removeIf(node -> !nodes.contains(node) && !keptForPenalty(node));
    targets = nodes.stream().map(this::of).toList();
    targets.forEach(peer -> peer.watch(context.now, leadingSince));
  }

  private boolean keptForPenalty(NodeId node) {
    return context.now - peers.get(node).droppedAt < ReplicationTimeouts.DROPS_KEPT;
  }

  boolean well(Peer peer) {
    return peer.well(context.now, leadingSince);
  }

  /** Whether a majority of the view's witnesses, this node among them, has answered of late. */
  boolean hearsMajority() {
    View view = context.view();
    long heard =
        view.witnesses().stream().filter(node -> node.equals(context.self) || hears(node)).count();
    return heard >= view.majority();
  }

  private boolean hears(NodeId node) {
    return of(node).silentFor(context.now, leadingSince) < ReplicationTimeouts.SILENCE;
  }

  /** Whether a majority answered that round or a later one and has accepted no later view. */
  boolean cleanMajority(long since) {
    View view = context.view();
    boolean own = view.hasWitness(context.self) && !context.witness.hasAccepted();
    long others =
        view.witnesses().stream()
            .filter(node -> !node.equals(context.self))
            .filter(node -> of(node).cleanRound >= since)
            .count();
    return others + (own ? 1 : 0) >= view.majority();
  }
}
