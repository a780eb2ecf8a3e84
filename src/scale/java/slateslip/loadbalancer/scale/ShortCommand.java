package slateslip.loadbalancer.scale;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/**
 * All that happens to a fleet, small and in one minute, for every change of the program: what is
 * judged are counts and order. Exit code 1 and a plain message if something is not as it has to be.
 */
@Command(
    name = "short",
    mixinStandardHelpOptions = true,
    description = "Plays all events with a small fleet, under 60 s, and judges counts and order.")
final class ShortCommand implements Callable<Integer> {
  private static final String PLAN =
      """
        {"name": "short", "scale": "40 hollow and 2 real agents, 24 servers",
         "events": "zone settings down unresponsive kill",
         "hollow": 40, "real": 2, "servers": 24, "zones": 4, "discovery": "alternating",
         "per-s": 5, "real-per-s": 20, "spread-ms": 500, "change-ms": 300,
         "before-s": 2, "event-s": 2, "after-s": 2, "versions": 20}""";

  @Override
  public Integer call() {
    return RunCommand.play(new FleetExperiment(Keys.of("short", PLAN)));
  }
}
