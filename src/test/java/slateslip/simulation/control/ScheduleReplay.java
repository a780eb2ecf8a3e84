package slateslip.simulation.control;

import java.util.List;

/** Plays one seed and prints its faults and every change of a role: for the search of causes. */
final class ScheduleReplay {
  private ScheduleReplay() {}

  /**
   * Plays a seed.
   *
   * @param arguments the seed, and {@code short} to play its shortened schedule
   */
  public static void main(String[] arguments) {
    long seed = Long.parseLong(arguments[0]);
    ScheduleRunner runner = new ScheduleRunner(Mutation.NONE);
    List<Fault> faults = arguments.length > 1 ? runner.shortened(seed) : runner.faults(seed);
    System.out.println(ScheduleRunner.shape(seed));
    faults.forEach(System.out::println);
    SimulatedNode.trace = true;
    System.out.println(runner.play(seed, faults));
  }
}
