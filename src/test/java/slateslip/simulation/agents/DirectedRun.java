package slateslip.simulation.agents;

import java.util.List;
import java.util.NavigableMap;
import java.util.function.BooleanSupplier;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.simulation.RuleViolation;

/** A run whose steps a test gives one by one; all rules are checked along the way. */
final class DirectedRun {
  static final long SECOND = 1_000_000;
  private static final long STEP = 10_000;
  private static final long START = 2_500_000;
  private static final long CALL_PATIENCE = 1_000_000;

  private final AgentWorld world;

  /**
   * All machines run, and nobody calls yet but backends.
   *
   * @param operators that read and change the configuration all along
   */
  DirectedRun(AgentWorld.Shape shape, long seed, int operators) {
    this(shape, seed, operators, AgentMutation.NONE);
  }

  /** The same with a fault put into the control side. */
  DirectedRun(AgentWorld.Shape shape, long seed, int operators, AgentMutation mutation) {
    world = new AgentWorld(shape, seed, mutation);
    world.begin(operators);
    world.runUntil(START);
  }

  AgentWorld world() {
    return world;
  }

  long now() {
    return world.events().nowMicros();
  }

  void pass(long micros) {
    world.runUntil(now() + micros);
  }

  /** A fault begins now. */
  void fault(AgentFault.Kind kind, int target, long micros) {
    world.at(now(), new AgentFault(now(), kind, target, micros));
    world.runUntil(now());
  }

  ControlMachine primary() {
    return world.controlMachines().stream()
        .filter(ControlMachine::isServing)
        .findFirst()
        .orElseThrow(() -> new RuleViolation("nobody serves"));
  }

  List<ControlMachine> allBut(ControlMachine machine) {
    return world.controlMachines().stream().filter(other -> other != machine).toList();
  }

  /** Sends an order to one agent once; null without a response in time. */
  OperatorResponse send(ControlMachine machine, ConfigurationChange change) {
    world.history().sent(change);
    long newestAtCall = world.history().newestAcknowledged();
    OperatorResponse response = call(machine, change.call());
    if (response != null) {
      world.history().responded(now(), change, newestAtCall, response);
    }
    return response;
  }

  /** Makes a call once; null without a response in time. */
  OperatorResponse call(ControlMachine machine, OperatorRequest call) {
    OperatorResponse[] got = {null};
    world.call(machine, call, response -> got[0] = response);
    long timeoutMicros = now() + CALL_PATIENCE;
    while (got[0] == null && now() < timeoutMicros) {
      world.runUntil(now() + STEP / 10);
    }
    return got[0];
  }

  /** Sends an order to one agent after the other until it is acknowledged. */
  void take(ConfigurationChange change) {
    int turn = 0;
    OperatorResponse response = null;
    while (response == null || response.status() == OperatorResponse.UNAVAILABLE) {
      List<ControlMachine> machines = world.controlMachines();
      response = send(machines.get(turn % machines.size()), change);
      turn++;
      if (turn > 100) {
        throw new RuleViolation("never taken: " + change);
      }
    }
    if (response.status() != OperatorResponse.OK) {
      throw new RuleViolation("refused with " + response.status() + ": " + change);
    }
  }

  /** Takes a number of changes one after the other, each on top of the one before. */
  void takeMany(int changes, int bytes, String marker) {
    for (int number = 1; number <= changes; number++) {
      long base = newest();
      take(ConfigurationChange.large(base, base + 1, marker + number, bytes));
    }
  }

  long newest() {
    NavigableMap<Long, Long> acknowledged = world.history().acknowledgements();
    return acknowledged.isEmpty() ? 0 : acknowledged.lastKey();
  }

  /** Time until an agent has a version. */
  long timeUntilAgentHas(ControlMachine machine, long version, long timeoutMicros) {
    return timeUntil(
        () -> machine.isWell() && machine.status().configurationVersion() >= version,
        timeoutMicros);
  }

  /** Time until all data planes that run have a version. */
  long timeUntilInForce(long version, long timeoutMicros) {
    return timeUntil(
        () -> world.dataPlanes().stream().allMatch(each -> each.version() >= version),
        timeoutMicros);
  }

  /** Time until something holds; -1 if the bound passed. */
  long timeUntil(BooleanSupplier condition, long timeoutMicros) {
    long begin = now();
    while (!condition.getAsBoolean() && now() < begin + timeoutMicros) {
      world.runUntil(now() + STEP);
    }
    return condition.getAsBoolean() ? now() - begin : -1;
  }
}
