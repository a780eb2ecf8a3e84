package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import slateslip.distribution.BackendSession;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.simulation.EventQueue;
import slateslip.simulation.RuleViolation;
import slateslip.simulation.ToleratedLosses;

/** One seeded run with simulated control agents, data planes, operators and backends. */
final class AgentWorld {
  /**
   * The size of a simulated fleet.
   *
   * @param agents the number of control agents
   * @param seeds the number of control agents whose addresses every process has in its settings
   * @param tolerance the number of control agents that may be lost at the same time
   * @param dataPlanes the number of data planes
   * @param backends the number of backend addresses
   * @param clockSpread the largest factor by which a steady clock is too fast or too slow; 1 for
   *     accurate clocks
   */
  record Shape(
      int agents, int seeds, int tolerance, int dataPlanes, int backends, double clockSpread) {
    static Shape of(int agents, int tolerance) {
      return new Shape(agents, Math.min(3, agents), tolerance, 3, 4, 1);
    }
  }

  /**
   * The logger of the control agents. Logging is off because thousands of runs would log too much.
   * The constant holds a strong reference because an unreferenced logger loses its level when it is
   * garbage-collected.
   */
  private static final Logger AGENT_LOG = Logger.getLogger("slateslip.controlplane.agent");

  static {
    AGENT_LOG.setLevel(Level.OFF);
  }

  private static final long START_SPREAD_MICROS = 300_000;
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final long CHECK_INTERVAL_MICROS = 200_000;
  private static final int AGENT_ZONES = 3;

  private final Shape shape;
  private final EventQueue events = new EventQueue();
  private final SplittableRandom random;
  private final AgentMutation mutation;
  private final SimulatedNetwork network;
  private final FleetHistory history = new FleetHistory();
  private final List<ControlMachine> controlMachines = new ArrayList<>();
  private final List<DataPlaneMachine> dataPlanes = new ArrayList<>();
  private final List<SimulatedOperator> operators = new ArrayList<>();
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final List<SimulatedBackend.Incarnation> incarnations = new ArrayList<>();
  private final List<String> seeds = new ArrayList<>();
  private final ToleratedLosses losses;
  private final AgentFaultInjector injector;
  private final ConnectivityRules rules;
  private int controlAddresses;
  private int maxRouteBytes;

  AgentWorld(Shape shape, long seed, AgentMutation mutation) {
    this.shape = shape;
    this.mutation = mutation;
    random = new SplittableRandom(seed);
    network = new SimulatedNetwork(events, random.split());
    losses = new ToleratedLosses(events);
    injector = new AgentFaultInjector(this, random.split());
    rules = new ConnectivityRules(this);
    for (int i = 0; i < shape.agents(); i++) {
      ControlMachine machine = newControlMachine();
      if (i < shape.seeds()) {
        seeds.add(machine.address());
      }
    }
    for (int i = 0; i < shape.dataPlanes(); i++) {
      dataPlanes.add(newDataPlane(i));
    }
    for (int i = 0; i < shape.backends(); i++) {
      backends.add(
          new SimulatedBackend(this, events, random.split(), "10.9.0." + i + ":80", incarnations));
    }
  }

  private ControlMachine newControlMachine() {
    int number = controlAddresses++;
    String address = "10.%d.0.%d".formatted(number % AGENT_ZONES + 1, number / AGENT_ZONES + 1);
    ControlMachine machine =
        new ControlMachine(address, events, random.split(), network, mutation, clockRate());
    network.add(machine);
    controlMachines.add(machine);
    return machine;
  }

  private DataPlaneMachine newDataPlane(int number) {
    String address = "10.%d.1.%d".formatted(number % AGENT_ZONES + 1, number + 1);
    DataPlaneMachine machine =
        new DataPlaneMachine(
            address, events, random.split(), network, mutation, history, clockRate());
    network.add(machine);
    return machine;
  }

  private double clockRate() {
    double spread = shape.clockSpread();
    double drawn = random.nextDouble();
    return spread == 1 ? 1 : Math.pow(spread, 2 * drawn - 1);
  }

  Shape shape() {
    return shape;
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

  FleetHistory history() {
    return history;
  }

  ConnectivityRules rules() {
    return rules;
  }

  List<ControlMachine> controlMachines() {
    return controlMachines;
  }

  List<DataPlaneMachine> dataPlanes() {
    return dataPlanes;
  }

  List<SimulatedBackend.Incarnation> incarnations() {
    return incarnations;
  }

  // ---- processes and settings ----

  /** Lets the operators send changes with routes of up to this size in bytes. */
  void sendLongChanges(int newMaxRouteBytes) {
    maxRouteBytes = newMaxRouteBytes;
  }

  /** Starts all machines for the first time, and starts the backends and the operators. */
  void begin(int operatorCount) {
    for (ControlMachine machine : controlMachines) {
      events.after(random.nextLong(START_SPREAD_MICROS), () -> start(machine, true));
    }
    for (DataPlaneMachine machine : dataPlanes) {
      events.after(random.nextLong(START_SPREAD_MICROS), () -> machine.start(List.copyOf(seeds)));
    }
    for (SimulatedBackend backend : backends) {
      events.after(random.nextLong(2 * SimulatedBackend.HEARTBEAT), backend::start);
    }
    for (int i = 0; i < operatorCount; i++) {
      addOperator("abcdefgh".substring(i, i + 1));
    }
    events.after(CHECK_INTERVAL_MICROS, this::check);
  }

  private void addOperator(String name) {
    SimulatedOperator operator =
        new SimulatedOperator(this, events, random.split(), history, name, maxRouteBytes);
    operators.add(operator);
    events.after(START_SPREAD_MICROS, operator::start);
  }

  private void check() {
    rules.check();
    events.after(CHECK_INTERVAL_MICROS, this::check);
  }

  void start(ControlMachine machine, boolean bootstrap) {
    if (controlMachines.contains(machine)) {
      machine.start(List.copyOf(seeds), bootstrap, shape.tolerance(), HEARTBEAT_MILLIS);
    }
  }

  void start(DataPlaneMachine machine) {
    machine.start(List.copyOf(seeds));
  }

  /**
   * Returns an empty machine with a new address and replaces the address of the given machine in
   * the seed list.
   */
  ControlMachine replacement(ControlMachine machine) {
    ControlMachine other = newControlMachine();
    seeds.replaceAll(seed -> seed.equals(machine.address()) ? other.address() : seed);
    return other;
  }

  /** Removes a machine permanently. */
  void remove(ControlMachine machine) {
    controlMachines.remove(machine);
  }

  /** Changes the seed addresses in the settings of all processes. */
  void changeSeeds(List<String> changed) {
    seeds.clear();
    seeds.addAll(changed);
    List<String> copy = List.copyOf(changed);
    controlMachines.forEach(
        machine -> machine.seedsChanged(copy, shape.tolerance(), HEARTBEAT_MILLIS));
    dataPlanes.forEach(machine -> machine.seedsChanged(copy));
  }

  void at(long micros, AgentFault fault) {
    events.at(micros, () -> injector.inject(fault));
  }

  void runUntil(long micros) {
    events.runUntil(micros);
  }

  // ---- requests ----

  void call(ControlMachine machine, OperatorRequest call, Consumer<OperatorResponse> response) {
    network.request(
        machine,
        once(call.method() + " at " + machine, back -> machine.call(call, back)),
        response,
        () -> response.accept(OperatorResponse.unavailable("connection refused")));
  }

  void heartbeat(
      ControlMachine machine,
      BackendSession session,
      Consumer<Boolean> acknowledged,
      Runnable refused) {
    network.request(
        machine,
        once("heartbeat", (Consumer<Boolean> back) -> machine.heartbeat(session, back)),
        acknowledged,
        refused);
  }

  void deregister(
      ControlMachine machine, String id, Consumer<Boolean> acknowledged, Runnable refused) {
    network.request(
        machine,
        once("deregistration", (Consumer<Boolean> back) -> machine.deregister(id, back)),
        acknowledged,
        refused);
  }

  /** Returns a handler that reports a violation if a call receives more than one response. */
  private static <T> Consumer<Consumer<T>> once(String what, Consumer<Consumer<T>> handle) {
    return back -> {
      boolean[] responded = {false};
      handle.accept(
          result -> {
            if (responded[0]) {
              throw new RuleViolation("more than one response to a call: " + what);
            }
            responded[0] = true;
            back.accept(result);
          });
    };
  }

  // ---- end of the run ----

  /**
   * Ends all faults and stops the operators. The current backends do not shut down any more. Up to
   * the given number of control agents stay down.
   */
  void heal(int staysDown) {
    operators.forEach(SimulatedOperator::stop);
    backends.forEach(SimulatedBackend::stay);
    injector.stop();
    network.heal();
    rules.faultActiveUntil(events.nowMicros());
    int down = 0;
    for (ControlMachine machine : List.copyOf(controlMachines)) {
      machine.disk().heal();
      if (machine.isRunning() && machine.process().isFrozen()) {
        machine.process().thaw();
      }
      if (down < staysDown && losses.mayLose(machine, shape.tolerance())) {
        losses.lost(machine);
        machine.kill();
        down++;
      } else {
        start(machine, false);
      }
    }
    for (DataPlaneMachine machine : dataPlanes) {
      if (machine.isRunning() && machine.process().isFrozen()) {
        machine.process().thaw();
      }
      start(machine);
    }
  }

  /**
   * Returns the time in microseconds until a change of an operator that starts now is acknowledged,
   * or -1 if the time limit passed.
   */
  long timeToAcceptChange(long timeoutMicros) {
    return timeToAcceptChange(timeoutMicros, () -> controlMachines);
  }

  /**
   * Returns the time in microseconds until a change of an operator that starts now and calls only
   * the given agents is acknowledged, or -1 if the time limit passed.
   */
  long timeToAcceptChange(long timeoutMicros, Supplier<List<ControlMachine>> called) {
    ProbingOperator prober = new ProbingOperator(this, "probe" + events.nowMicros() + "-", called);
    long begin = events.nowMicros();
    prober.start();
    while (!prober.isDone() && events.nowMicros() < begin + timeoutMicros) {
      events.runUntil(events.nowMicros() + 10_000);
    }
    prober.stop();
    return prober.isDone() ? events.nowMicros() - begin : -1;
  }

  /** Returns a description of the state of all machines, to help find the cause of a failure. */
  String describe() {
    StringBuilder text = new StringBuilder("at " + events.nowMicros() / 1_000 + " ms");
    for (ControlMachine machine : controlMachines) {
      String state = machine.isResponsive() ? machine.status().toString() : "down or frozen";
      text.append("\n  agent ").append(machine).append(": ").append(state);
    }
    for (DataPlaneMachine machine : dataPlanes) {
      text.append("\n  data plane ")
          .append(machine)
          .append(" has version ")
          .append(machine.version());
      text.append(", streams to ").append(machine.connectedAgents());
      text.append(", backends ").append(machine.backends().keySet());
    }
    for (SimulatedBackend.Incarnation backend : incarnations) {
      text.append("\n  ").append(backend);
    }
    return text.toString();
  }

  /** Returns the configuration version of each responsive control agent, by address. */
  Map<String, Long> versions() {
    Map<String, Long> versions = new TreeMap<>();
    for (ControlMachine machine : controlMachines) {
      if (machine.isResponsive()) {
        versions.put(machine.address(), machine.status().configurationVersion());
      }
    }
    return versions;
  }
}
