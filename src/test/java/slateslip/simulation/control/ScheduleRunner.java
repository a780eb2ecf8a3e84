package slateslip.simulation.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import slateslip.simulation.RuleViolation;
import slateslip.simulation.ShortestSchedule;

/** Plays seeded schedules; a seed repeats what it did. */
public final class ScheduleRunner {
  /** The violation of a schedule after which nobody takes a change in time. */
  static final String NOTHING_TAKEN = "no change was taken within the bound after the faults";

  private static final long BEGIN = 1_500_000;
  private static final long FAULTS_FOR = 6_000_000;
  private static final long LIVENESS_TIMEOUT = 3_000_000;
  private static final long SHAPE_STREAM = 0x5eed;
  private static final WorldShape[] SHAPES = {
    new WorldShape(3, 3, 1),
    new WorldShape(3, 3, 1),
    new WorldShape(4, 3, 1),
    new WorldShape(5, 3, 2),
    new WorldShape(8, 3, 2),
    new WorldShape(8, 3, 1),
  };

  /**
   * What a schedule came to.
   *
   * @param violation what was broken, if anything
   * @param takenAfter simulated microseconds until a change was taken after the faults
   * @param changes acknowledged changes
   */
  record Result(Optional<String> violation, long takenAfter, int changes) {}

  private final Mutation mutation;

  ScheduleRunner(Mutation mutation) {
    this.mutation = mutation;
  }

  static WorldShape shape(long seed) {
    return SHAPES[new SplittableRandom(seed ^ SHAPE_STREAM).nextInt(SHAPES.length)];
  }

  /** The faults of a seed, of the kinds that go with the mutation. */
  List<Fault> faults(long seed) {
    SplittableRandom random = new SplittableRandom(seed + SHAPE_STREAM);
    return Fault.schedule(random, FAULTS_FOR, mutation.kinds());
  }

  Result play(long seed) {
    return play(seed, faults(seed));
  }

  /** Hash of the times of all events of one seed and of what it came to. */
  public static long digest(long seed) {
    ScheduleRunner runner = new ScheduleRunner(Mutation.NONE);
    ControlWorld world = new ControlWorld(shape(seed), seed, Mutation.NONE);
    Result result = play(world, seed, runner.faults(seed));
    return Objects.hash(
        world.events().digest(),
        result.violation().isPresent(),
        result.takenAfter(),
        result.changes());
  }

  Result play(long seed, List<Fault> faults) {
    WorldShape shape = mutation == Mutation.NONE ? shape(seed) : SHAPES[0];
    return play(new ControlWorld(shape, seed, mutation), seed, faults);
  }

  private static Result play(ControlWorld world, long seed, List<Fault> faults) {
    try {
      world.begin(2);
      faults.forEach(fault -> world.at(BEGIN + fault.atMicros(), fault));
      world.runUntil(BEGIN + FAULTS_FOR);
      boolean withLosses = (seed & 1) == 1;
      world.heal(withLosses ? world.shape().faultTolerance() : 0);
      long taken = world.timeToTakeChange(LIVENESS_TIMEOUT);
      if (taken < 0) {
        return failed(world, NOTHING_TAKEN);
      }
      world.checkEnd();
      return new Result(Optional.empty(), taken, world.changesTaken());
    } catch (RuleViolation violation) {
      return failed(world, violation.getMessage());
    }
  }

  private static Result failed(ControlWorld world, String violation) {
    return new Result(Optional.of(violation), -1, world.changesTaken());
  }

  /** Leaves out faults as long as the schedule still fails. */
  List<Fault> shortened(long seed) {
    return ShortestSchedule.of(faults(seed), fewer -> play(seed, fewer).violation().isPresent());
  }

  /** A failure with its seed and its shortened schedule. */
  String report(long seed, Result result) {
    StringBuilder text = new StringBuilder("seed ").append(seed);
    text.append(", ").append(shape(seed)).append(": ").append(result.violation().orElse("held"));
    for (Fault fault : shortened(seed)) {
      text.append("\n  ").append(fault);
    }
    return text.toString();
  }
}
