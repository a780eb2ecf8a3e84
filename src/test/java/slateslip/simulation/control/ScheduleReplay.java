package slateslip.simulation.control;

import java.util.List;

/**
 * Runs one seed and prints its faults and all role changes, to help find the cause of a failure.
 */
final class ScheduleReplay {
  private ScheduleReplay() {}

  /**
   * Runs a seed and prints the result.
   *
   * @param arguments the seed, and optionally {@code short} to run the minimized schedule
   */
  public static void main(String[] arguments) {
    long seed = Long.parseLong(arguments[0]);
    ScheduleRunner runner = new ScheduleRunner(Mutation.NONE);
    List<Fault> faults = arguments.length > 1 ? runner.minimized(seed) : runner.faults(seed);
    System.out.println(ScheduleRunner.shape(seed));
    faults.forEach(System.out::println);
    SimulatedNode.trace = true;
    System.out.println(runner.run(seed, faults));
  }
}
