package slateslip.simulation.agents;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import slateslip.simulation.RuleViolation;
import slateslip.simulation.ShortestSchedule;

/** Runs seeded schedules of faults; the same seed always produces the same run. */
public final class AgentScheduleRunner {
  /**
   * The violation that is reported if no agent accepts a change within the time limit after the
   * faults.
   */
  static final String NO_CHANGE_ACCEPTED =
      "no change was accepted within the time limit after the faults";

  private static final long FAULTS_BEGIN_MICROS = 2_000_000;
  private static final long FAULT_PERIOD_MICROS = 7_000_000;
  private static final long SETTLE_MICROS = 1_000_000;
  private static final long LIVENESS_TIMEOUT_MICROS = 3_000_000;
  private static final long PROPAGATION_TIMEOUT_MICROS = 2_000_000;
  private static final long STABLE_MICROS = 10_000_000;
  private static final int STABLE_SEED_INTERVAL = 8;
  private static final int OPERATORS = 2;
  private static final long SEED_OFFSET = 0xa6e7;
  private static final AgentWorld.Shape[] SHAPES = {
    AgentWorld.Shape.of(3, 1),
    AgentWorld.Shape.of(3, 1),
    AgentWorld.Shape.of(3, 1),
    AgentWorld.Shape.of(4, 1),
    AgentWorld.Shape.of(5, 2),
    AgentWorld.Shape.of(8, 2),
    AgentWorld.Shape.of(9, 2),
  };

  /**
   * The result of a schedule.
   *
   * @param violation the description of the violated invariant, or empty
   * @param acceptedAfterMicros the simulated time in microseconds from the end of the faults until
   *     an agent accepted a change, or -1 if the schedule failed
   * @param changes the number of acknowledged changes
   */
  record Result(Optional<String> violation, long acceptedAfterMicros, int changes) {}

  private final AgentMutation mutation;
  private final List<AgentFault.Kind> kinds;

  AgentScheduleRunner(AgentMutation mutation, List<AgentFault.Kind> kinds) {
    this.mutation = mutation;
    this.kinds = kinds;
  }

  static AgentScheduleRunner withAllFaultKinds() {
    return new AgentScheduleRunner(AgentMutation.NONE, AgentFault.Kind.ofFastLinks());
  }

  static AgentWorld.Shape shape(long seed) {
    return SHAPES[new SplittableRandom(seed ^ SEED_OFFSET).nextInt(SHAPES.length)];
  }

  List<AgentFault> faults(long seed) {
    return AgentFault.schedule(
        new SplittableRandom(seed + SEED_OFFSET), FAULT_PERIOD_MICROS, kinds);
  }

  Result run(long seed) {
    return run(seed, shape(seed), faults(seed));
  }

  Result run(long seed, AgentWorld.Shape shape, List<AgentFault> faults) {
    return run(new AgentWorld(shape, seed, mutation), seed, faults);
  }

  /** Returns a hash of the times of all events and acknowledgements of a seed and of its result. */
  public static long digest(long seed) {
    AgentWorld world = new AgentWorld(shape(seed), seed, AgentMutation.NONE);
    Result result = run(world, seed, withAllFaultKinds().faults(seed));
    return Objects.hash(
        world.events().digest(),
        world.history().acknowledgements(),
        result.violation().isPresent(),
        result.acceptedAfterMicros(),
        result.changes());
  }

  /**
   * Runs a schedule and returns the description of the violated invariant, or empty. Unlike {@link
   * #run(long)}, this method does not require that a change is accepted within a time limit.
   */
  Optional<String> runForSafety(long seed, AgentWorld.Shape shape, List<AgentFault> faults) {
    AgentWorld world = new AgentWorld(shape, seed, mutation);
    try {
      world.begin(OPERATORS);
      faults.forEach(fault -> world.at(FAULTS_BEGIN_MICROS + fault.atMicros(), fault));
      world.runUntil(FAULTS_BEGIN_MICROS + lastFaultEnd(faults) + SETTLE_MICROS);
      world.heal(0);
      world.timeToAcceptChange(STABLE_MICROS);
      return Optional.empty();
    } catch (RuleViolation violation) {
      return Optional.of(violation.getMessage());
    }
  }

  private static Result run(AgentWorld world, long seed, List<AgentFault> faults) {
    try {
      world.begin(OPERATORS);
      faults.forEach(fault -> world.at(FAULTS_BEGIN_MICROS + fault.atMicros(), fault));
      world.runUntil(FAULTS_BEGIN_MICROS + lastFaultEnd(faults) + SETTLE_MICROS);
      return finish(world, seed);
    } catch (RuleViolation violation) {
      return failed(world, violation.getMessage());
    }
  }

  private static long lastFaultEnd(List<AgentFault> faults) {
    return faults.stream()
        .mapToLong(fault -> fault.atMicros() + fault.durationMicros())
        .max()
        .orElse(FAULT_PERIOD_MICROS);
  }

  private static Result finish(AgentWorld world, long seed) {
    boolean machinesStayDown = (seed & 1) == 1;
    world.heal(machinesStayDown ? world.shape().tolerance() : 0);
    long acceptedAfterMicros = world.timeToAcceptChange(LIVENESS_TIMEOUT_MICROS);
    if (acceptedAfterMicros < 0) {
      return failed(world, NO_CHANGE_ACCEPTED);
    }
    world.runUntil(world.events().nowMicros() + PROPAGATION_TIMEOUT_MICROS);
    checkNewestVersionApplied(world);
    if (seed % STABLE_SEED_INTERVAL == 0) {
      world.runUntil(world.events().nowMicros() + STABLE_MICROS);
    }
    return new Result(Optional.empty(), acceptedAfterMicros, world.history().acknowledgedChanges());
  }

  /** Returns a description of all machines after a schedule has ended or violated an invariant. */
  String stateAfter(long seed, List<AgentFault> faults) {
    AgentWorld world = new AgentWorld(shape(seed), seed, mutation);
    run(world, seed, faults);
    return world.describe();
  }

  /**
   * Checks that all responsive agents and all data planes have at least the newest acknowledged
   * version.
   */
  private static void checkNewestVersionApplied(AgentWorld world) {
    long newest = world.history().newestAcknowledged();
    world
        .versions()
        .forEach(
            (agent, version) -> {
              if (version < newest) {
                throw new RuleViolation(
                    agent + " (control agent) has version " + version + ", not " + newest);
              }
            });
    for (DataPlaneMachine dataPlane : world.dataPlanes()) {
      if (dataPlane.version() < newest) {
        throw new RuleViolation(
            dataPlane + " (data plane) has version " + dataPlane.version() + ", not " + newest);
      }
    }
  }

  private static Result failed(AgentWorld world, String violation) {
    return new Result(Optional.of(violation), -1, world.history().acknowledgedChanges());
  }

  /** Returns the schedule of a seed without the faults that are not necessary for a violation. */
  List<AgentFault> minimized(long seed) {
    return ShortestSchedule.of(
        faults(seed), fewer -> run(seed, shape(seed), fewer).violation().isPresent());
  }

  /** Returns a description of a violation with the seed and the minimized schedule. */
  String report(long seed, Result result) {
    StringBuilder text = new StringBuilder("seed ").append(seed);
    text.append(", ")
        .append(shape(seed))
        .append(": ")
        .append(result.violation().orElse("no violation"));
    for (AgentFault fault : minimized(seed)) {
      text.append("\n  ").append(fault);
    }
    return text.toString();
  }
}
