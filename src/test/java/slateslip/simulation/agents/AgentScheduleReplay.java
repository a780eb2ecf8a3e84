package slateslip.simulation.agents;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Runs one seed or a range of seeds and prints the violations, to help find their causes. */
final class AgentScheduleReplay {
  private AgentScheduleReplay() {}

  /**
   * Runs one seed and prints the log of the agents, or runs all seeds of a range.
   *
   * @param arguments the seed, and optionally {@code short} to run the minimized schedule; or the
   *     first and the last seed of a range
   */
  public static void main(String[] arguments) {
    AgentScheduleRunner runner = AgentScheduleRunner.withAllFaultKinds();
    long seed = Long.parseLong(arguments[0]);
    if (arguments.length > 1 && !arguments[1].equals("short")) {
      runAll(runner, seed, Long.parseLong(arguments[1]));
      return;
    }
    List<AgentFault> faults = arguments.length > 1 ? runner.minimized(seed) : runner.faults(seed);
    System.out.println(AgentScheduleRunner.shape(seed));
    faults.forEach(System.out::println);
    Logger.getLogger("slateslip.controlplane.agent").setLevel(Level.INFO);
    System.out.println(runner.run(seed, AgentScheduleRunner.shape(seed), faults));
    Logger.getLogger("slateslip.controlplane.agent").setLevel(Level.OFF);
    System.out.println(runner.stateAfter(seed, faults));
  }

  private static void runAll(AgentScheduleRunner runner, long first, long last) {
    long changes = 0;
    for (long seed = first; seed <= last; seed++) {
      AgentScheduleRunner.Result result = runner.run(seed);
      changes += result.changes();
      if (result.violation().isPresent()) {
        System.out.println(runner.report(seed, result));
      }
    }
    System.out.println((last - first + 1) + " schedules, " + changes + " changes accepted");
  }
}
