package slateslip.simulation.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.ReplicaMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.protocol.coordination.ReplicaMessageCodec;
import slateslip.simulation.EventQueue;

/**
 * Connections between nodes: in order on each, with delay; cut one way, reset, and between an old
 * and a new connection without order; some messages come twice.
 */
final class SimulatedNetwork {
  /** Sees what is sent, before it is on its way. */
  interface Watcher {
    /** Returns whether the message is lost. */
    boolean sent(NodeId from, NodeAddress to, ReplicaMessage message);
  }

  /** Takes what arrives. */
  interface Receiver {
    void deliver(NodeAddress to, ReplicaFrame frame);
  }

  private record Link(NodeAddress from, NodeAddress to) {}

  private static final long MIN_DELAY = 300;
  private static final long MAX_DELAY = 3_000;
  private static final long LATE = 120_000;
  private static final int ENCODED_EVERY = 16;
  private static final int TWICE_EVERY = 150;

  private final EventQueue events;
  private final SplittableRandom random;
  private final Receiver receiver;
  private final Mutation mutation;
  private final Watcher watcher;
  private final Map<Link, Long> lastArrival = new HashMap<>();
  private final Map<Link, Integer> connections = new HashMap<>();
  private final Map<Link, Deque<Runnable>> cuts = new HashMap<>();
  private final SlowLinks slow = new SlowLinks();

  /** Extra delay of links. */
  private static final class SlowLinks {
    private final Map<NodeAddress, Long> extra = new HashMap<>();

    long of(NodeAddress from, NodeAddress to) {
      return Math.max(extra.getOrDefault(from, 0L), extra.getOrDefault(to, 0L));
    }
  }

  SimulatedNetwork(
      EventQueue events,
      SplittableRandom random,
      Receiver receiver,
      Mutation mutation,
      Watcher watcher) {
    this.watcher = watcher;
    this.events = events;
    this.random = random;
    this.receiver = receiver;
    this.mutation = mutation;
  }

  void send(NodeId from, NodeAddress to, ReplicaMessage sent) {
    ReplicaMessage message = mutation.pass(sent);
    if (watcher.sent(from, to, message)) {
      return;
    }
    Link link = new Link(from.address(), to);
    ReplicaFrame frame = new ReplicaFrame(from, sometimesEncoded(from, message));
    long delay = random.nextLong(MIN_DELAY, MAX_DELAY) + slow.of(from.address(), to);
    long arrival = Math.max(lastArrival.getOrDefault(link, 0L), events.nowMicros() + delay);
    lastArrival.put(link, arrival);
    int connection = connections.getOrDefault(link, 0);
    events.at(arrival, () -> arrive(link, connection, frame));
    if (random.nextInt(TWICE_EVERY) == 0) {
      events.at(arrival + random.nextLong(LATE), () -> arrive(link, connection, frame));
    }
  }

  private ReplicaMessage sometimesEncoded(NodeId from, ReplicaMessage message) {
    if (random.nextInt(ENCODED_EVERY) != 0) {
      return message;
    }
    Decoded<ReplicaFrame> decoded =
        ReplicaMessageCodec.decode(ReplicaMessageCodec.encode(from, message));
    return ((Decoded.Message<ReplicaFrame>) decoded).value().message();
  }

  private void arrive(Link link, int connection, ReplicaFrame frame) {
    Deque<Runnable> stalled = cuts.get(link);
    if (stalled != null) {
      stalled.addLast(() -> arrive(link, connection, frame));
      return;
    }
    boolean old = connection != connections.getOrDefault(link, 0);
    if (!old || random.nextBoolean()) {
      receiver.deliver(link.to(), frame);
    }
  }

  /** Nothing passes from one to the other any more. */
  void partition(NodeAddress from, NodeAddress to) {
    cuts.putIfAbsent(new Link(from, to), new ArrayDeque<>());
  }

  /** The link passes again: what it held up comes now, or is lost with its connection. */
  void join(NodeAddress from, NodeAddress to) {
    join(new Link(from, to));
  }

  private void join(Link link) {
    Deque<Runnable> stalled = cuts.remove(link);
    if (stalled == null) {
      return;
    }
    if (random.nextBoolean()) {
      reset(link);
    }
    if (random.nextInt(3) > 0) {
      stalled.forEach(arrival -> events.after(0, arrival));
    }
  }

  /** All connections of a machine are reset: what is under way comes late or never. */
  void resetAll(NodeAddress node, Iterable<NodeAddress> others) {
    for (NodeAddress other : others) {
      reset(new Link(node, other));
      reset(new Link(other, node));
    }
  }

  private void reset(Link link) {
    connections.merge(link, 1, Integer::sum);
    lastArrival.remove(link);
  }

  /** Slows all links of a machine. */
  void slow(NodeAddress node, long extraMicros) {
    slow.extra.put(node, extraMicros);
  }

  void heal() {
    List.copyOf(cuts.keySet()).forEach(this::join);
    slow.extra.clear();
  }
}
