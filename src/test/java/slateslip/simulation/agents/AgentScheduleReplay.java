package slateslip.simulation.agents;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Plays seeds of whole agents and prints what broke: for the search of causes. */
final class AgentScheduleReplay {
  private AgentScheduleReplay() {}

  /**
   * Plays one seed with the agents' log, or all seeds from a first to a last one.
   *
   * @param arguments the seed, and {@code short} to play its shortened schedule; or two seeds
   */
  public static void main(String[] arguments) {
    AgentScheduleRunner runner = AgentScheduleRunner.ofAllKinds();
    long seed = Long.parseLong(arguments[0]);
    if (arguments.length > 1 && !arguments[1].equals("short")) {
      playAll(runner, seed, Long.parseLong(arguments[1]));
      return;
    }
    List<AgentFault> faults = arguments.length > 1 ? runner.shortened(seed) : runner.faults(seed);
    System.out.println(AgentScheduleRunner.shape(seed));
    faults.forEach(System.out::println);
    Logger.getLogger("slateslip.controlplane.agent").setLevel(Level.INFO);
    System.out.println(runner.play(seed, AgentScheduleRunner.shape(seed), faults));
    Logger.getLogger("slateslip.controlplane.agent").setLevel(Level.OFF);
    System.out.println(runner.stateAfter(seed, faults));
  }

  private static void playAll(AgentScheduleRunner runner, long first, long last) {
    long changes = 0;
    for (long seed = first; seed <= last; seed++) {
      AgentScheduleRunner.Result result = runner.play(seed);
      changes += result.changes();
      if (result.violation().isPresent()) {
        System.out.println(runner.report(seed, result));
      }
    }
    System.out.println((last - first + 1) + " schedules, " + changes + " changes taken");
  }
}
