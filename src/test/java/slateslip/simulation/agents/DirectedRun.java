package slateslip.simulation.agents;

import java.util.List;
import java.util.NavigableMap;
import java.util.function.BooleanSupplier;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.simulation.RuleViolation;

/** A run whose steps are chosen by a test. The run checks all invariants. */
final class DirectedRun {
  static final long SECOND = 1_000_000;
  private static final long STEP_MICROS = 10_000;
  private static final long START_MICROS = 2_500_000;
  private static final long CALL_TIMEOUT = 1_000_000;

  private final AgentWorld world;

  /**
   * Starts all machines and backends.
   *
   * @param operators the number of operators that read and change the configuration during the run
   */
  DirectedRun(AgentWorld.Shape shape, long seed, int operators) {
    this(shape, seed, operators, AgentMutation.NONE);
  }

  /** Starts all machines and backends with a deliberate defect of the control plane. */
  DirectedRun(AgentWorld.Shape shape, long seed, int operators, AgentMutation mutation) {
    world = new AgentWorld(shape, seed, mutation);
    world.begin(operators);
    world.runUntil(START_MICROS);
  }

  AgentWorld world() {
    return world;
  }

  long now() {
    return world.events().nowMicros();
  }

  void advance(long micros) {
    world.runUntil(now() + micros);
  }

  /** Injects a fault now; the duration is in microseconds. */
  void fault(AgentFault.Kind kind, int target, long micros) {
    world.at(now(), new AgentFault(now(), kind, target, micros));
    world.runUntil(now());
  }

  ControlMachine primary() {
    return world.controlMachines().stream()
        .filter(ControlMachine::isServing)
        .findFirst()
        .orElseThrow(() -> new RuleViolation("no control agent serves as primary"));
  }

  List<ControlMachine> allExcept(ControlMachine machine) {
    return world.controlMachines().stream().filter(other -> other != machine).toList();
  }

  /** Sends a change to one agent once and returns the response, or null after a timeout. */
  OperatorResponse send(ControlMachine machine, ConfigurationChange change) {
    world.history().sent(change);
    long newestAtCall = world.history().newestAcknowledged();
    OperatorResponse response = call(machine, change.call());
    if (response != null) {
      world.history().responded(now(), change, newestAtCall, response);
    }
    return response;
  }

  /** Sends a request to one agent once and returns the response, or null after a timeout. */
  OperatorResponse call(ControlMachine machine, OperatorRequest call) {
    OperatorResponse[] got = {null};
    world.call(machine, call, response -> got[0] = response);
    long timeoutMicros = now() + CALL_TIMEOUT;
    while (got[0] == null && now() < timeoutMicros) {
      world.runUntil(now() + STEP_MICROS / 10);
    }
    return got[0];
  }

  /**
   * Sends a change to one agent after another until the change is acknowledged. Throws {@link
   * RuleViolation} if the change is rejected or not acknowledged after 100 attempts.
   */
  void submit(ConfigurationChange change) {
    int turn = 0;
    OperatorResponse response = null;
    while (response == null || response.status() == OperatorResponse.UNAVAILABLE) {
      List<ControlMachine> machines = world.controlMachines();
      response = send(machines.get(turn % machines.size()), change);
      turn++;
      if (turn > 100) {
        throw new RuleViolation("a change was never accepted: " + change);
      }
    }
    if (response.status() != OperatorResponse.OK) {
      throw new RuleViolation(
          "a change was rejected with status " + response.status() + ": " + change);
    }
  }

  /** Submits a number of consecutive changes; each change is based on the previous change. */
  void submitMany(int changes, int bytes, String marker) {
    for (int number = 1; number <= changes; number++) {
      long base = newest();
      submit(ConfigurationChange.large(base, base + 1, marker + number, bytes));
    }
  }

  long newest() {
    NavigableMap<Long, Long> acknowledged = world.history().acknowledgements();
    return acknowledged.isEmpty() ? 0 : acknowledged.lastKey();
  }

  /** Returns the time in microseconds until an agent has a version, or -1 after the timeout. */
  long timeUntilAgentHas(ControlMachine machine, long version, long timeoutMicros) {
    return timeUntil(
        () -> machine.isResponsive() && machine.status().configurationVersion() >= version,
        timeoutMicros);
  }

  /**
   * Returns the time in microseconds until all data planes have a version, or -1 after the timeout.
   */
  long timeUntilApplied(long version, long timeoutMicros) {
    return timeUntil(
        () -> world.dataPlanes().stream().allMatch(each -> each.version() >= version),
        timeoutMicros);
  }

  /** Returns the time in microseconds until a condition is true, or -1 after the timeout. */
  long timeUntil(BooleanSupplier condition, long timeoutMicros) {
    long begin = now();
    while (!condition.getAsBoolean() && now() < begin + timeoutMicros) {
      world.runUntil(now() + STEP_MICROS);
    }
    return condition.getAsBoolean() ? now() - begin : -1;
  }
}
