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
 * Machines and the TCP connections between them: in order on each, with delay and bandwidth; cut
 * one way or both, silently or with resets, and joined again.
 */
final class SimulatedNetwork {
  private record Link(String from, String to) {}

  private record HeldUp(SimulatedSocket sender, Runnable arrival) {}

  private static final long MIN_DELAY = 300;
  private static final long MAX_DELAY = 3_000;
  private static final long HANDSHAKE_RETRY = 200_000;
  private static final int RETAINED_CLOSED_SOCKETS = 500;

  private final EventQueue events;
  private final SplittableRandom random;
  private final Map<String, SimulatedMachine> machines = new HashMap<>();
  private final Map<Link, Deque<HeldUp>> cuts = new HashMap<>();
  private final Map<Link, Integer> partitionCounts = new HashMap<>();
  private final Map<String, Long> extraDelay = new HashMap<>();
  private final List<SimulatedSocket> sockets = new ArrayList<>();
  private long bytesPerMilli = Long.MAX_VALUE;

  SimulatedNetwork(EventQueue events, SplittableRandom random) {
    this.events = events;
    this.random = random;
  }

  void add(SimulatedMachine machine) {
    machines.put(machine.address(), machine);
  }

  /** Bandwidth of each connection. */
  void limitBandwidth(long newBytesPerMilli) {
    bytesPerMilli = newBytesPerMilli;
  }

  long delay() {
    return random.nextLong(MIN_DELAY, MAX_DELAY);
  }

  // ---- connections ----

  /** How an attempt to connect ends, told on the event loop of the one who connects. */
  interface Connecting {
    /** The connection is up. */
    SimulatedSocket.Listener connected(SimulatedSocket socket);

    /** It did not come up in time, or was refused. */
    void failed();
  }

  /** An attempt that has not ended. */
  private static final class Attempt {
    private final SimulatedMachine from;
    private final SimulatedProcess process;
    private final String to;
    private final Connecting connecting;
    private boolean over;

    private Attempt(SimulatedMachine from, String to, Connecting connecting) {
      this.from = from;
      process = from.process();
      this.to = to;
      this.connecting = connecting;
    }

    private void fail() {
      if (!over) {
        over = true;
        process.execute(this, connecting::failed);
      }
    }
  }

  /** Opens a connection. */
  void connect(SimulatedMachine from, String to, long timeoutMicros, Connecting connecting) {
    Attempt attempt = new Attempt(from, to, connecting);
    events.after(timeoutMicros, attempt::fail);
    events.after(delay(), () -> handshake(attempt));
  }

  private void handshake(Attempt attempt) {
    if (attempt.over || !attempt.process.isAlive()) {
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
    return cuts.containsKey(new Link(one, other)) || cuts.containsKey(new Link(other, one));
  }

  private void establish(Attempt attempt, SimulatedMachine target) {
    SimulatedSocket client = new SimulatedSocket(this, attempt.from);
    SimulatedSocket server = new SimulatedSocket(this, target);
    SimulatedSocket.join(client, server);
    remember(client);
    remember(server);
    server.process().execute(server, () -> server.listen(target.accept(server)));
    events.after(delay(), () -> established(attempt, client));
  }

  private void established(Attempt attempt, SimulatedSocket client) {
    if (attempt.over || !attempt.process.isAlive()) {
      client.reset(true);
      return;
    }
    attempt.over = true;
    attempt.process.execute(client, () -> client.listen(attempt.connecting.connected(client)));
  }

  private void remember(SimulatedSocket socket) {
    if (sockets.size() > RETAINED_CLOSED_SOCKETS) {
      sockets.removeIf(each -> !each.isOpen());
    }
    sockets.add(socket);
  }

  /** Brings something from a socket to its peer, behind all that it has sent before. */
  void transmit(SimulatedSocket sender, long bytes, Runnable arrival) {
    Link link = new Link(sender.machine().address(), sender.peerMachine().address());
    long slow = Math.max(extra(link.from()), extra(link.to()));
    long delay = delay() + slow + bytes * 1_000 / bytesPerMilli;
    long at =
        Math.max(sender.lastArrival() + bytes * 1_000 / bytesPerMilli, events.nowMicros() + delay);
    sender.arrivesAt(at);
    events.at(at, () -> pass(link, sender, arrival));
  }

  private long extra(String machine) {
    return extraDelay.getOrDefault(machine, 0L);
  }

  private void pass(Link link, SimulatedSocket sender, Runnable arrival) {
    Deque<HeldUp> stalled = cuts.get(link);
    if (stalled == null) {
      arrival.run();
    } else {
      stalled.addLast(new HeldUp(sender, arrival));
    }
  }

  // ---- troubles ----

  /** A process has been killed: its machine resets its connections. */
  void processKilled(SimulatedMachine machine) {
    socketsOf(machine).forEach(socket -> socket.reset(random.nextBoolean()));
  }

  /** A machine has lost power: nobody is told. */
  void powerLost(SimulatedMachine machine) {
    socketsOf(machine).forEach(SimulatedSocket::vanish);
  }

  /** All connections of a machine are reset at both ends. */
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

  /** Nothing passes from one to the other any more. */
  void partition(String from, String to) {
    Link link = new Link(from, to);
    partitionCounts.merge(link, 1, Integer::sum);
    cuts.putIfAbsent(link, new ArrayDeque<>());
  }

  /** One cut of a link has ended; it passes again once all have. */
  void join(String from, String to) {
    Link link = new Link(from, to);
    if (partitionCounts.merge(link, -1, Integer::sum) == 0) {
      join(link);
    }
  }

  /** What was held up comes now, or is lost with its connection. */
  private void join(Link link) {
    partitionCounts.remove(link);
    Deque<HeldUp> stalled = cuts.remove(link);
    boolean reset = random.nextBoolean();
    for (HeldUp each : stalled) {
      if (reset) {
        each.sender().closedByPeer();
        each.sender().reset(true);
      } else if (!each.sender().losesWhatIsUnderWay()) {
        events.after(0, each.arrival());
      }
    }
  }

  /** Whether any link is cut. */
  boolean hasCuts() {
    return !cuts.isEmpty();
  }

  /** Whether messages pass both ways. */
  boolean passes(String one, String other) {
    return !isPartitioned(one, other);
  }

  /** Slows all links of a machine; 0 makes them fast again. */
  void slow(String machine, long extraMicros) {
    extraDelay.put(machine, extraMicros);
  }

  void heal() {
    List.copyOf(cuts.keySet()).forEach(this::join);
    extraDelay.clear();
  }

  /** A request over HTTP, and its response: each takes a moment. */
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
