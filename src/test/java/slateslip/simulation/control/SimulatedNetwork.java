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
 * Simulated connections between nodes. Messages of one connection arrive in order after a random
 * delay. Connections can be partitioned in one direction and reset; messages of the connection
 * before a reset and of the connection after the reset may arrive in any order. Some messages are
 * delivered twice.
 */
final class SimulatedNetwork {
  /** Observes each message before the network transmits the message. */
  interface MessageObserver {
    /** Returns whether the message is lost. */
    boolean sent(NodeId from, NodeAddress to, ReplicaMessage message);
  }

  /** Receives the messages that arrive. */
  interface Receiver {
    void deliver(NodeAddress to, ReplicaFrame frame);
  }

  private record Link(NodeAddress from, NodeAddress to) {}

  private static final long MIN_DELAY_MICROS = 300;
  private static final long MAX_DELAY_MICROS = 3_000;
  private static final long MAX_DUPLICATE_DELAY_MICROS = 120_000;
  private static final int MESSAGES_PER_ENCODING = 16;
  private static final int MESSAGES_PER_DUPLICATE = 150;

  private final EventQueue events;
  private final SplittableRandom random;
  private final Receiver receiver;
  private final Mutation mutation;
  private final MessageObserver observer;
  private final Map<Link, Long> lastArrival = new HashMap<>();
  private final Map<Link, Integer> connections = new HashMap<>();
  private final Map<Link, Deque<Runnable>> partitions = new HashMap<>();
  private final SlowLinks slowLinks = new SlowLinks();

  /** The additional delay of the links of slow machines. */
  private static final class SlowLinks {
    private final Map<NodeAddress, Long> extraMicros = new HashMap<>();

    long of(NodeAddress from, NodeAddress to) {
      return Math.max(extraMicros.getOrDefault(from, 0L), extraMicros.getOrDefault(to, 0L));
    }
  }

  SimulatedNetwork(
      EventQueue events,
      SplittableRandom random,
      Receiver receiver,
      Mutation mutation,
      MessageObserver observer) {
    this.observer = observer;
    this.events = events;
    this.random = random;
    this.receiver = receiver;
    this.mutation = mutation;
  }

  void send(NodeId from, NodeAddress to, ReplicaMessage sent) {
    ReplicaMessage message = mutation.alterMessage(sent);
    if (observer.sent(from, to, message)) {
      return;
    }
    Link link = new Link(from.address(), to);
    ReplicaFrame frame = new ReplicaFrame(from, encodeAndDecodeAtRandom(from, message));
    long delay =
        random.nextLong(MIN_DELAY_MICROS, MAX_DELAY_MICROS) + slowLinks.of(from.address(), to);
    long arrival = Math.max(lastArrival.getOrDefault(link, 0L), events.nowMicros() + delay);
    lastArrival.put(link, arrival);
    int connection = connections.getOrDefault(link, 0);
    events.at(arrival, () -> arrive(link, connection, frame));
    if (random.nextInt(MESSAGES_PER_DUPLICATE) == 0) {
      events.at(
          arrival + random.nextLong(MAX_DUPLICATE_DELAY_MICROS),
          () -> arrive(link, connection, frame));
    }
  }

  private ReplicaMessage encodeAndDecodeAtRandom(NodeId from, ReplicaMessage message) {
    if (random.nextInt(MESSAGES_PER_ENCODING) != 0) {
      return message;
    }
    Decoded<ReplicaFrame> decoded =
        ReplicaMessageCodec.decode(ReplicaMessageCodec.encode(from, message));
    return ((Decoded.Message<ReplicaFrame>) decoded).value().message();
  }

  private void arrive(Link link, int connection, ReplicaFrame frame) {
    Deque<Runnable> heldArrivals = partitions.get(link);
    if (heldArrivals != null) {
      heldArrivals.addLast(() -> arrive(link, connection, frame));
      return;
    }
    boolean replaced = connection != connections.getOrDefault(link, 0);
    if (!replaced || random.nextBoolean()) {
      receiver.deliver(link.to(), frame);
    }
  }

  /** Stops the delivery of messages from one node to another until the partition ends. */
  void partition(NodeAddress from, NodeAddress to) {
    partitions.putIfAbsent(new Link(from, to), new ArrayDeque<>());
  }

  /**
   * Ends the partition of a link. At random, the held messages arrive now or are lost with their
   * connection.
   */
  void endPartition(NodeAddress from, NodeAddress to) {
    endPartition(new Link(from, to));
  }

  private void endPartition(Link link) {
    Deque<Runnable> heldArrivals = partitions.remove(link);
    if (heldArrivals == null) {
      return;
    }
    if (random.nextBoolean()) {
      reset(link);
    }
    if (random.nextInt(3) > 0) {
      heldArrivals.forEach(arrival -> events.after(0, arrival));
    }
  }

  /**
   * Resets all connections of a machine. At random, each message in flight still arrives or is
   * lost.
   */
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

  /** Adds a delay in microseconds to all links of a machine. */
  void slow(NodeAddress node, long extraMicros) {
    slowLinks.extraMicros.put(node, extraMicros);
  }

  void heal() {
    List.copyOf(partitions.keySet()).forEach(this::endPartition);
    slowLinks.extraMicros.clear();
  }
}
