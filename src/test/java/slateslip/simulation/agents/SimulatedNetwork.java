package slateslip.simulation.agents;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import slateslip.simulation.EventQueue;

/**
 * Simulated machines and the TCP connections between them. Messages of one connection arrive in
 * order, after a delay that depends on the bandwidth. Links can be partitioned in one or both
 * directions; the end of a partition delivers the delayed messages or resets their connections.
 */
final class SimulatedNetwork {
  private record Link(String from, String to) {}

  private record HeldDelivery(SimulatedSocket sender, Runnable arrival) {}

  private static final long MIN_DELAY = 300;
  private static final long MAX_DELAY = 3_000;
  private static final long HANDSHAKE_RETRY = 200_000;
  private static final int RETAINED_CLOSED_SOCKETS = 500;

  private final EventQueue events;
  private final SplittableRandom random;
  private final Map<String, SimulatedMachine> machines = new HashMap<>();
  private final Map<Link, Deque<HeldDelivery>> partitions = new HashMap<>();
  private final Map<Link, Integer> partitionCounts = new HashMap<>();
  private final Map<String, Long> extraDelay = new HashMap<>();
  private final List<SimulatedSocket> sockets = new ArrayList<>();
  private final Map<String, SharedLink> downlinks = new HashMap<>();
  private final Map<String, SharedLink> uplinks = new HashMap<>();
  private long bytesPerMilli = Long.MAX_VALUE;

  /** One direction of the link of a machine, which all its connections share in order. */
  private static final class SharedLink {
    private final long bytesPerMilli;
    private long freeAtMicros;
    private long longestQueueMicros;

    private SharedLink(long bytesPerMilli) {
      this.bytesPerMilli = bytesPerMilli;
    }

    /** Returns when the last byte of a message leaves the link that reaches the link at a time. */
    private long carry(long atMicros, long bytes) {
      longestQueueMicros = Math.max(longestQueueMicros, freeAtMicros - atMicros);
      freeAtMicros = Math.max(freeAtMicros, atMicros) + bytes * 1_000 / bytesPerMilli;
      return freeAtMicros;
    }
  }

  SimulatedNetwork(EventQueue events, SplittableRandom random) {
    this.events = events;
    this.random = random;
  }

  void add(SimulatedMachine machine) {
    machines.put(machine.address(), machine);
  }

  /** Sets the bandwidth of each connection in bytes per millisecond. */
  void limitBandwidth(long newBytesPerMilli) {
    bytesPerMilli = newBytesPerMilli;
  }

  /**
   * Limits the rate, in bytes per millisecond, at which all connections together carry data to a
   * machine.
   */
  void limitDownlink(String machine, long downlinkBytesPerMilli) {
    downlinks.put(machine, new SharedLink(downlinkBytesPerMilli));
  }

  /**
   * Limits the rate, in bytes per millisecond, at which all connections together carry data from a
   * machine.
   */
  void limitUplink(String machine, long uplinkBytesPerMilli) {
    uplinks.put(machine, new SharedLink(uplinkBytesPerMilli));
  }

  /**
   * Returns the longest time in microseconds that a message has waited for the limited uplink of a
   * machine.
   */
  long longestUplinkQueueMicros(String machine) {
    return uplinks.get(machine).longestQueueMicros;
  }

  long delay() {
    return random.nextLong(MIN_DELAY, MAX_DELAY);
  }

  // ---- connections ----

  /** Receives the result of a connection attempt on the event loop of the connecting process. */
  interface ConnectListener {
    /** Returns the listener of a connection that was established. */
    SimulatedSocket.Listener connected(SimulatedSocket socket);

    /** Handles a connection attempt that timed out or was refused. */
    void failed();
  }

  /** A connection attempt. */
  private static final class Attempt {
    private final SimulatedMachine from;
    private final SimulatedProcess process;
    private final String to;
    private final ConnectListener connectListener;
    private boolean finished;

    private Attempt(SimulatedMachine from, String to, ConnectListener connectListener) {
      this.from = from;
      process = from.process();
      this.to = to;
      this.connectListener = connectListener;
    }

    private void fail() {
      if (!finished) {
        finished = true;
        process.execute(this, connectListener::failed);
      }
    }
  }

  /** Opens a connection; the attempt fails after the timeout in microseconds. */
  void connect(
      SimulatedMachine from, String to, long timeoutMicros, ConnectListener connectListener) {
    Attempt attempt = new Attempt(from, to, connectListener);
    events.after(timeoutMicros, attempt::fail);
    events.after(delay(), () -> handshake(attempt));
  }

  private void handshake(Attempt attempt) {
    if (attempt.finished || !attempt.process.isAlive()) {
      return;
    }
    SimulatedMachine target = machines.get(attempt.to);
    boolean unresponsive =
        target == null || !target.isPowered() || isPartitioned(attempt.from.address(), attempt.to);
    if (unresponsive) {
      events.after(HANDSHAKE_RETRY, () -> handshake(attempt));
    } else if (!target.isRunning()) {
      events.after(delay(), attempt::fail);
    } else {
      establish(attempt, target);
    }
  }

  private boolean isPartitioned(String one, String other) {
    return partitions.containsKey(new Link(one, other))
        || partitions.containsKey(new Link(other, one));
  }

  private void establish(Attempt attempt, SimulatedMachine target) {
    SimulatedSocket client = new SimulatedSocket(this, attempt.from);
    SimulatedSocket server = new SimulatedSocket(this, target);
    SimulatedSocket.connect(client, server);
    retain(client);
    retain(server);
    server.process().execute(server, () -> server.listen(target.accept(server)));
    events.after(delay(), () -> established(attempt, client));
  }

  private void established(Attempt attempt, SimulatedSocket client) {
    if (attempt.finished || !attempt.process.isAlive()) {
      client.reset(true);
      return;
    }
    attempt.finished = true;
    attempt.process.execute(client, () -> client.listen(attempt.connectListener.connected(client)));
  }

  private void retain(SimulatedSocket socket) {
    if (sockets.size() > RETAINED_CLOSED_SOCKETS) {
      sockets.removeIf(each -> !each.isOpen());
    }
    sockets.add(socket);
  }

  /** Runs an arrival at the peer of a socket, after the arrivals of everything sent before. */
  void transmit(SimulatedSocket sender, long bytes, Runnable arrival) {
    Link link = new Link(sender.machine().address(), sender.peerMachine().address());
    long slow = Math.max(extra(link.from()), extra(link.to()));
    SharedLink uplink = uplinks.get(link.from());
    long sentAt = uplink == null ? events.nowMicros() : uplink.carry(events.nowMicros(), bytes);
    long delay = delay() + slow + bytes * 1_000 / bytesPerMilli;
    long at = Math.max(sender.lastArrival() + bytes * 1_000 / bytesPerMilli, sentAt + delay);
    SharedLink downlink = downlinks.get(link.to());
    if (downlink != null) {
      at = downlink.carry(at, bytes);
    }
    sender.setLastArrival(at);
    events.at(at, () -> deliverOrHold(link, sender, arrival));
  }

  private long extra(String machine) {
    return extraDelay.getOrDefault(machine, 0L);
  }

  private void deliverOrHold(Link link, SimulatedSocket sender, Runnable arrival) {
    Deque<HeldDelivery> held = partitions.get(link);
    if (held == null) {
      arrival.run();
    } else {
      held.addLast(new HeldDelivery(sender, arrival));
    }
  }

  // ---- faults ----

  /** Resets the connections of a machine whose process was killed. */
  void processKilled(SimulatedMachine machine) {
    socketsOf(machine).forEach(socket -> socket.reset(random.nextBoolean()));
  }

  /** Ends the connections of a machine that lost power, without notice to the peers. */
  void powerLost(SimulatedMachine machine) {
    socketsOf(machine).forEach(SimulatedSocket::closeSilently);
  }

  /** Resets all connections of a machine at both ends. */
  void resetAll(SimulatedMachine machine) {
    for (SimulatedSocket socket : socketsOf(machine)) {
      socket.closedByPeer();
      socket.reset(random.nextBoolean());
    }
  }

  private List<SimulatedSocket> socketsOf(SimulatedMachine machine) {
    return sockets.stream()
        .filter(socket -> socket.isOpen() && socket.machine() == machine)
        .toList();
  }

  /** Holds all messages from one machine to another until the partition ends. */
  void partition(String from, String to) {
    Link link = new Link(from, to);
    partitionCounts.merge(link, 1, Integer::sum);
    partitions.putIfAbsent(link, new ArrayDeque<>());
  }

  /** Ends one partition of a link; the link is restored when all its partitions have ended. */
  void endPartition(String from, String to) {
    Link link = new Link(from, to);
    if (partitionCounts.merge(link, -1, Integer::sum) == 0) {
      endPartition(link);
    }
  }

  /** Restores a link: delivers the held messages, or resets the connections of these messages. */
  private void endPartition(Link link) {
    partitionCounts.remove(link);
    Deque<HeldDelivery> held = partitions.remove(link);
    boolean reset = random.nextBoolean();
    for (HeldDelivery each : held) {
      if (reset) {
        each.sender().closedByPeer();
        each.sender().reset(true);
      } else if (!each.sender().losesMessagesInFlight()) {
        events.after(0, each.arrival());
      }
    }
  }

  /** Returns whether any link is partitioned. */
  boolean hasPartitions() {
    return !partitions.isEmpty();
  }

  /** Returns whether messages pass between two machines in both directions. */
  boolean reachesBothWays(String one, String other) {
    return !isPartitioned(one, other);
  }

  /** Sets the additional delay of all links of a machine in microseconds. */
  void slow(String machine, long extraMicros) {
    extraDelay.put(machine, extraMicros);
  }

  void heal() {
    List.copyOf(partitions.keySet()).forEach(this::endPartition);
    extraDelay.clear();
  }

  /** Sends an HTTP request; the request and the response each arrive after a random delay. */
  <T> void request(
      SimulatedMachine target,
      Consumer<Consumer<T>> handle,
      Consumer<T> response,
      Runnable refused) {
    events.after(delay(), () -> arrive(target, handle, response, refused));
  }

  private <T> void arrive(
      SimulatedMachine target,
      Consumer<Consumer<T>> handle,
      Consumer<T> response,
      Runnable refused) {
    if (!target.isPowered()) {
      return;
    }
    if (!target.isRunning()) {
      events.after(delay(), refused);
      return;
    }
    Consumer<T> back = result -> events.after(delay(), () -> response.accept(result));
    target.process().execute(handle, () -> handle.accept(back));
  }
}
