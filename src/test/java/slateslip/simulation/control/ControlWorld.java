package slateslip.simulation.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import slateslip.coordination.ClientResult;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.NodeLocation;
import slateslip.coordination.ReplicaInput;
import slateslip.coordination.ReplicaMessage;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.simulation.EventQueue;
import slateslip.simulation.RuleViolation;
import slateslip.simulation.ToleratedLosses;

/** One seeded simulation of the core nodes, their network and the operators. */
final class ControlWorld {
  private static final int FIRST_ADDRESS = 0x0a000001;
  private static final long START_SPREAD_MICROS = 300_000;
  private static final int RESPONSES_PER_LOSS = 12;
  private static final long PROBE_TIMEOUT_MICROS = 300_000;
  private static final long END_TIMEOUT_MICROS = 1_000_000;
  private static final int PROBE_AUTHOR = 1_000_000;

  private final WorldShape shape;
  private final EventQueue events = new EventQueue();
  private final SplittableRandom random;
  private final CheckedHistory history = new CheckedHistory();
  private final SimulatedNetwork network;
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final List<NodeAddress> seeds = new ArrayList<>();
  private final Map<Long, Caller> callers = new HashMap<>();
  private final List<SimulatedOperator> operators = new ArrayList<>();
  private final ToleratedLosses losses;
  private final FaultInjector injector;
  private final Mutation mutation;
  private SimulatedNetwork.MessageObserver observer = (from, to, message) -> false;
  private int assignedAddresses;
  private long lastToken;
  private int lastAuthor;
  private final Set<Long> probeTokens = new HashSet<>();
  private long probedAtMicros;
  private boolean probing;
  private boolean probeAccepted;

  ControlWorld(WorldShape shape, long seed, Mutation mutation) {
    this.shape = shape;
    this.mutation = mutation;
    random = new SplittableRandom(seed);
    network = new SimulatedNetwork(events, random.split(), this::deliver, mutation, this::sent);
    losses = new ToleratedLosses(events);
    injector = new FaultInjector(this, random.split());
    for (int i = 0; i < shape.nodes(); i++) {
      SimulatedNode node = newNode();
      if (i < shape.seeds()) {
        seeds.add(node.address());
      }
    }
  }

  private SimulatedNode newNode() {
    NodeLocation location = shape.location(assignedAddresses);
    NodeAddress address = new NodeAddress(FIRST_ADDRESS + assignedAddresses++);
    SimulatedNode node =
        new SimulatedNode(
            events,
            random.split(),
            network,
            history,
            this::handleResult,
            address,
            location,
            mutation);
    mutation.alterDisk(node.disk());
    nodes.add(node);
    return node;
  }

  EventQueue events() {
    return events;
  }

  SimulatedNetwork network() {
    return network;
  }

  ToleratedLosses losses() {
    return losses;
  }

  CheckedHistory history() {
    return history;
  }

  WorldShape shape() {
    return shape;
  }

  List<SimulatedNode> nodes() {
    return nodes;
  }

  long nextToken(Caller caller) {
    lastToken++;
    callers.put(lastToken, caller);
    return lastToken;
  }

  int nextAuthor(int operator) {
    lastAuthor += 2;
    return lastAuthor + operator;
  }

  /** Starts all machines for the first time, at random times, and then the operators. */
  void begin(int operatorCount) {
    for (SimulatedNode node : nodes) {
      events.after(
          random.nextLong(START_SPREAD_MICROS), () -> node.start(seeds, true, shape.tolerance()));
    }
    for (int i = 0; i < operatorCount; i++) {
      SimulatedOperator operator = new SimulatedOperator(events, random.split(), history, this, i);
      operators.add(operator);
      events.after(START_SPREAD_MICROS, operator::start);
    }
  }

  /** Starts the process of a machine again, which recovers from the disk. */
  void restart(SimulatedNode node) {
    if (nodes.contains(node)) {
      node.start(seeds, false, shape.tolerance());
    }
  }

  /**
   * Removes a machine permanently and starts a new machine with an empty disk at another address
   * after the given time.
   */
  void replace(SimulatedNode node, long micros) {
    node.losePower();
    nodes.remove(node);
    SimulatedNode other = newNode();
    seeds.replaceAll(seed -> seed.equals(node.address()) ? other.address() : seed);
    events.after(micros, () -> restart(other));
  }

  void at(long micros, Fault fault) {
    events.at(micros, () -> injector.inject(fault));
  }

  void runUntil(long micros) {
    events.runUntil(micros);
  }

  private void deliver(NodeAddress to, ReplicaFrame frame) {
    nodes.stream()
        .filter(node -> node.address().equals(to))
        .findFirst()
        .ifPresent(node -> deliver(node, frame));
  }

  /**
   * Sets the observer of all messages sent from now on; the observer decides whether a message is
   * lost.
   */
  void setObserver(SimulatedNetwork.MessageObserver newObserver) {
    observer = newObserver;
  }

  private boolean sent(NodeId from, NodeAddress to, ReplicaMessage message) {
    if (message instanceof ReplicaMessage.Decided decided) {
      history.decided(decided.view());
    } else if (message instanceof ReplicaMessage.Heartbeat heartbeat) {
      history.decided(heartbeat.view());
    }
    nodes.stream()
        .filter(node -> node.address().equals(from.address()))
        .findFirst()
        .ifPresent(node -> injector.sent(node, message));
    return observer.sent(from, to, message);
  }

  private void deliver(SimulatedNode node, ReplicaFrame frame) {
    mutation
        .wrongResponse(frame.message(), node.role().epoch())
        .ifPresent(response -> network.send(node.role().self(), frame.from().address(), response));
    node.deliver(frame);
  }

  private void handleResult(SimulatedNode node, ClientResult result) {
    if (result instanceof ClientResult.Committed committed) {
      ReferenceState.Change change = node.state().changes().get((int) committed.sequence() - 1);
      history.committedBy(node.role().self(), node.role().epoch(), change);
    }
    if (probeTokens.contains(result.clientToken())) {
      probeAccepted |= result instanceof ClientResult.Committed;
      probing = false;
      return;
    }
    injector.acknowledged(node, result);
    Caller caller = callers.remove(result.clientToken());
    if (random.nextInt(RESPONSES_PER_LOSS) != 0) {
      events.after(1_000, () -> caller.responded(node, result.clientToken(), result));
    }
  }

  /**
   * Ends all faults and restarts all machines, except up to the given number of machines that
   * remain down.
   */
  void heal(int machinesStayingDown) {
    operators.forEach(SimulatedOperator::stop);
    injector.stop();
    network.heal();
    List<SimulatedNode> all = List.copyOf(nodes);
    for (int i = 0; i < all.size(); i++) {
      SimulatedNode node = all.get(i);
      node.disk().heal();
      node.thaw();
      if (i < machinesStayingDown && losses.mayLose(node, shape.faultTolerance())) {
        losses.lost(node);
        node.kill();
      } else {
        restart(node);
      }
    }
  }

  /**
   * Runs the simulation until a node accepts a change. Returns the elapsed simulated time in
   * microseconds, or -1 if the timeout expires.
   */
  long timeToAcceptChange(long timeoutMicros) {
    long begin = events.nowMicros();
    probeAccepted = false;
    probing = false;
    while (!probeAccepted && events.nowMicros() < begin + timeoutMicros) {
      probing &= events.nowMicros() - probedAtMicros < PROBE_TIMEOUT_MICROS;
      nodes.stream()
          .filter(node -> !probing && node.role().serving())
          .findFirst()
          .ifPresent(this::probe);
      events.runUntil(events.nowMicros() + 10_000);
    }
    return probeAccepted ? events.nowMicros() - begin : -1;
  }

  private void probe(SimulatedNode node) {
    lastToken++;
    probeTokens.add(lastToken);
    probing = true;
    probedAtMicros = events.nowMicros();
    long version = node.state().version();
    ReferenceState.Change change =
        new ReferenceState.Change(version, version + 1, PROBE_AUTHOR + (int) lastToken);
    node.handle(new ReplicaInput.Propose(lastToken, change.encode()));
  }

  /**
   * Waits for a primary that serves clients and checks that its state contains all acknowledged
   * changes.
   */
  void checkEnd() {
    long timeoutMicros = events.nowMicros() + END_TIMEOUT_MICROS;
    while (nodes.stream().noneMatch(node -> node.role().serving())
        && events.nowMicros() < timeoutMicros) {
      events.runUntil(events.nowMicros() + 10_000);
    }
    SimulatedNode serving =
        nodes.stream()
            .filter(node -> node.role().serving())
            .findFirst()
            .orElseThrow(() -> new RuleViolation("no primary serves clients at the end"));
    history.checkEndState(serving.state().changes());
  }

  int acknowledgedChanges() {
    return history.acknowledgedChanges().size();
  }
}
