package slateslip.simulation.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import slateslip.simulation.RuleViolation;
import slateslip.simulation.ShortestSchedule;

/** Runs seeded schedules of faults; the same seed always produces the same run. */
public final class ScheduleRunner {
  /**
   * The violation that is reported if no node accepts a change within the time limit after the
   * faults.
   */
  static final String NO_CHANGE_ACCEPTED =
      "no change was accepted within the time limit after the faults";

  private static final long FAULTS_BEGIN_MICROS = 1_500_000;
  private static final long FAULT_PERIOD_MICROS = 6_000_000;
  private static final long LIVENESS_TIMEOUT_MICROS = 3_000_000;
  private static final long SEED_OFFSET = 0x5eed;
  private static final WorldShape[] SHAPES = {
    new WorldShape(3, 3, 1),
    new WorldShape(3, 3, 1),
    new WorldShape(4, 3, 1),
    new WorldShape(5, 3, 2),
    new WorldShape(8, 3, 2),
    new WorldShape(8, 3, 1),
  };

  /**
   * The result of a schedule.
   *
   * @param violation the description of the violated invariant, or empty
   * @param acceptedAfterMicros the simulated time in microseconds from the end of the faults until
   *     a node accepted a change, or -1 if the schedule failed
   * @param changes the number of acknowledged changes
   */
  record Result(Optional<String> violation, long acceptedAfterMicros, int changes) {}

  private final Mutation mutation;

  ScheduleRunner(Mutation mutation) {
    this.mutation = mutation;
  }

  static WorldShape shape(long seed) {
    return SHAPES[new SplittableRandom(seed ^ SEED_OFFSET).nextInt(SHAPES.length)];
  }

  /** Returns the faults of a seed, restricted to the kinds that reveal the mutation. */
  List<Fault> faults(long seed) {
    SplittableRandom random = new SplittableRandom(seed + SEED_OFFSET);
    return Fault.schedule(random, FAULT_PERIOD_MICROS, mutation.faultKinds());
  }

  Result run(long seed) {
    return run(seed, faults(seed));
  }

  /**
   * Returns a hash of the times of all events in the run of a seed and of the result of the run.
   */
  public static long digest(long seed) {
    ScheduleRunner runner = new ScheduleRunner(Mutation.NONE);
    ControlWorld world = new ControlWorld(shape(seed), seed, Mutation.NONE);
    Result result = run(world, seed, runner.faults(seed));
    return Objects.hash(
        world.events().digest(),
        result.violation().isPresent(),
        result.acceptedAfterMicros(),
        result.changes());
  }

  Result run(long seed, List<Fault> faults) {
    WorldShape shape = mutation == Mutation.NONE ? shape(seed) : SHAPES[0];
    return run(new ControlWorld(shape, seed, mutation), seed, faults);
  }

  private static Result run(ControlWorld world, long seed, List<Fault> faults) {
    try {
      world.begin(2);
      faults.forEach(fault -> world.at(FAULTS_BEGIN_MICROS + fault.atMicros(), fault));
      world.runUntil(FAULTS_BEGIN_MICROS + FAULT_PERIOD_MICROS);
      boolean machinesStayDown = (seed & 1) == 1;
      world.heal(machinesStayDown ? world.shape().faultTolerance() : 0);
      long acceptedAfterMicros = world.timeToAcceptChange(LIVENESS_TIMEOUT_MICROS);
      if (acceptedAfterMicros < 0) {
        return failed(world, NO_CHANGE_ACCEPTED);
      }
      world.checkEnd();
      return new Result(Optional.empty(), acceptedAfterMicros, world.acknowledgedChanges());
    } catch (RuleViolation violation) {
      return failed(world, violation.getMessage());
    }
  }

  private static Result failed(ControlWorld world, String violation) {
    return new Result(Optional.of(violation), -1, world.acknowledgedChanges());
  }

  /** Returns the schedule of a seed without the faults that are not necessary for a violation. */
  List<Fault> minimized(long seed) {
    return ShortestSchedule.of(faults(seed), fewer -> run(seed, fewer).violation().isPresent());
  }

  /** Returns a description of a violation with the seed and the minimized schedule. */
  String report(long seed, Result result) {
    StringBuilder text = new StringBuilder("seed ").append(seed);
    text.append(", ")
        .append(shape(seed))
        .append(": ")
        .append(result.violation().orElse("no violation"));
    for (Fault fault : minimized(seed)) {
      text.append("\n  ").append(fault);
    }
    return text.toString();
  }
}
