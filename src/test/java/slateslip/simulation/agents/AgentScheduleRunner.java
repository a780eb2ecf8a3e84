package slateslip.simulation.agents;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import slateslip.simulation.RuleViolation;
import slateslip.simulation.ShortestSchedule;

/** Plays seeded schedules of whole agents; a seed repeats what it did. */
public final class AgentScheduleRunner {
  /** The violation of a schedule after which nobody takes a change in time. */
  static final String NOTHING_TAKEN = "no change was taken within the bound after the faults";

  private static final long BEGIN = 2_000_000;
  private static final long FAULTS_FOR = 7_000_000;
  private static final long TAIL = 1_000_000;
  private static final long LIVENESS_TIMEOUT = 3_000_000;
  private static final long IN_FORCE_TIMEOUT = 2_000_000;
  private static final long STABLE_MICROS = 10_000_000;
  private static final int STABLE_EVERY = 8;
  private static final int OPERATORS = 2;
  private static final long SHAPE_STREAM = 0xa6e7;
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
   * What a schedule came to.
   *
   * @param violation what was broken, if anything
   * @param takenAfter simulated microseconds until a change was taken after the faults
   * @param changes acknowledged changes
   */
  record Result(Optional<String> violation, long takenAfter, int changes) {}

  private final AgentMutation mutation;
  private final List<AgentFault.Kind> kinds;

  AgentScheduleRunner(AgentMutation mutation, List<AgentFault.Kind> kinds) {
    this.mutation = mutation;
    this.kinds = kinds;
  }

  static AgentScheduleRunner ofAllKinds() {
    return new AgentScheduleRunner(AgentMutation.NONE, List.of(AgentFault.Kind.values()));
  }

  static AgentWorld.Shape shape(long seed) {
    return SHAPES[new SplittableRandom(seed ^ SHAPE_STREAM).nextInt(SHAPES.length)];
  }

  List<AgentFault> faults(long seed) {
    return AgentFault.schedule(new SplittableRandom(seed + SHAPE_STREAM), FAULTS_FOR, kinds);
  }

  Result play(long seed) {
    return play(seed, shape(seed), faults(seed));
  }

  Result play(long seed, AgentWorld.Shape shape, List<AgentFault> faults) {
    return play(new AgentWorld(shape, seed, mutation), seed, faults);
  }

  /** Hash of the times of all events of one seed and of what it came to. */
  public static long digest(long seed) {
    AgentWorld world = new AgentWorld(shape(seed), seed, AgentMutation.NONE);
    Result result = play(world, seed, ofAllKinds().faults(seed));
    return Objects.hash(
        world.events().digest(),
        world.history().acknowledgements(),
        result.violation().isPresent(),
        result.takenAfter(),
        result.changes());
  }

  /** What of safety was broken, whatever became of the time that changes take. */
  Optional<String> playForSafety(long seed, AgentWorld.Shape shape, List<AgentFault> faults) {
    AgentWorld world = new AgentWorld(shape, seed, mutation);
    try {
      world.begin(OPERATORS);
      faults.forEach(fault -> world.at(BEGIN + fault.atMicros(), fault));
      world.runUntil(BEGIN + lastEnd(faults) + TAIL);
      world.heal(0);
      world.timeToTakeChange(STABLE_MICROS);
      return Optional.empty();
    } catch (RuleViolation violation) {
      return Optional.of(violation.getMessage());
    }
  }

  private static Result play(AgentWorld world, long seed, List<AgentFault> faults) {
    try {
      world.begin(OPERATORS);
      faults.forEach(fault -> world.at(BEGIN + fault.atMicros(), fault));
      world.runUntil(BEGIN + lastEnd(faults) + TAIL);
      return finish(world, seed);
    } catch (RuleViolation violation) {
      return failed(world, violation.getMessage());
    }
  }

  private static long lastEnd(List<AgentFault> faults) {
    return faults.stream()
        .mapToLong(fault -> fault.atMicros() + fault.micros())
        .max()
        .orElse(FAULTS_FOR);
  }

  private static Result finish(AgentWorld world, long seed) {
    boolean withLosses = (seed & 1) == 1;
    world.heal(withLosses ? world.shape().tolerance() : 0);
    long taken = world.timeToTakeChange(LIVENESS_TIMEOUT);
    if (taken < 0) {
      return failed(world, NOTHING_TAKEN);
    }
    world.runUntil(world.events().nowMicros() + IN_FORCE_TIMEOUT);
    checkInForce(world);
    if (seed % STABLE_EVERY == 0) {
      world.runUntil(world.events().nowMicros() + STABLE_MICROS);
    }
    return new Result(Optional.empty(), taken, world.history().changesTaken());
  }

  /** What the machines of a world are at when a schedule has ended or has broken a rule. */
  String stateAfter(long seed, List<AgentFault> faults) {
    AgentWorld world = new AgentWorld(shape(seed), seed, mutation);
    play(world, seed, faults);
    return world.describe();
  }

  /** All agents and data planes that run have what was acknowledged last. */
  private static void checkInForce(AgentWorld world) {
    long newest = world.history().newestAcknowledged();
    world
        .versions()
        .forEach(
            (agent, version) -> {
              if (version < newest) {
                throw new RuleViolation(agent + " is on " + version + ", not " + newest);
              }
            });
    for (DataPlaneMachine dataPlane : world.dataPlanes()) {
      if (dataPlane.version() < newest) {
        throw new RuleViolation(dataPlane + " is on " + dataPlane.version() + ", not " + newest);
      }
    }
  }

  private static Result failed(AgentWorld world, String violation) {
    return new Result(Optional.of(violation), -1, world.history().changesTaken());
  }

  /** Leaves out faults as long as the schedule still fails. */
  List<AgentFault> shortened(long seed) {
    return ShortestSchedule.of(
        faults(seed), fewer -> play(seed, shape(seed), fewer).violation().isPresent());
  }

  /** A failure with its seed and its shortened schedule. */
  String report(long seed, Result result) {
    StringBuilder text = new StringBuilder("seed ").append(seed);
    text.append(", ").append(shape(seed)).append(": ").append(result.violation().orElse("held"));
    for (AgentFault fault : shortened(seed)) {
      text.append("\n  ").append(fault);
    }
    return text.toString();
  }
}
