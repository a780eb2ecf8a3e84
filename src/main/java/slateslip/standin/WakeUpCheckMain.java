package slateslip.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import slateslip.eventloop.WakeUpCause;

/**
 * Checks that the number of event loop iterations of a data plane stays below a limit per idle
 * second and below a limit per request. The check compares counts instead of times, because a busy
 * machine only lowers the number of iterations.
 */
public final class WakeUpCheckMain {
  private static final int USAGE_ERROR = 2;
  private static final int FAILURE = 1;
  private static final int IDLE_SECONDS = 5;
  private static final int REQUESTS = 120;
  private static final double REQUESTS_PER_SECOND = 12;

  /**
   * Limit for an idle second: ten timer ticks, and some iterations for control agents and health
   * probes.
   */
  private static final double MAX_IDLE_TURNS = 14;

  /**
   * Limit for a request: the request, its backend connection, the head of the response and the
   * first event, which can arrive separately from the head. All later events are read by the
   * periodic polls of open streams, which this limit does not include.
   */
  private static final double MAX_REQUEST_TURNS = 4;

  private static final List<WakeUpCause> REQUEST_CAUSES =
      List.of(WakeUpCause.CLIENT, WakeUpCause.BACKEND, WakeUpCause.BACKEND_CONNECT);
  private static final Logger ROOT_LOG = Logger.getLogger("");

  private WakeUpCheckMain() {}

  /**
   * Runs the check. Exits with status 0 if both limits hold, with status 1 if not, and with status
   * 2 if the arguments are invalid.
   *
   * @param arguments the folder with the jars
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    if (arguments.length != 1) {
      System.err.println("usage: WakeUpCheckMain JARS");
      System.exit(USAGE_ERROR);
    }
    ROOT_LOG.setLevel(Level.WARNING);
    FleetPrograms programs = new FleetPrograms(Path.of(arguments[0]), List.of(), List.of());
    FleetAddresses addresses = FleetAddresses.withFront(0);
    LocalFleet fleet = new LocalFleet(addresses, programs);
    FleetTraffic traffic = new FleetTraffic(addresses);
    boolean withinLimits;
    try {
      if (fleet.start() instanceof LocalFleet.Outcome.Failed failed) {
        System.out.println(failed.reason());
        System.exit(FAILURE);
      }
      withinLimits = SampleRequest.send(addresses.frontUrl(0), System.err) && check(traffic);
    } finally {
      traffic.close();
      fleet.close();
    }
    System.exit(withinLimits ? 0 : FAILURE);
  }

  /**
   * Sends requests first and measures the idle seconds afterwards, because a data plane that has
   * just started reads messages of the control agents immediately. Returns whether both limits hold
   * and all requests succeeded.
   */
  private static boolean check(FleetTraffic traffic) throws IOException, InterruptedException {
    Map<WakeUpCause, Long> before = traffic.eventLoopTurns();
    PacedTraffic.Result result =
        traffic
            .pacedTraffic()
            .run(
                REQUESTS_PER_SECOND,
                Duration.ofMillis((long) (1_000 * REQUESTS / REQUESTS_PER_SECOND)));
    Map<WakeUpCause, Long> served = traffic.eventLoopTurns();
    Thread.sleep(Duration.ofSeconds(IDLE_SECONDS).toMillis());
    Map<WakeUpCause, Long> idle = traffic.eventLoopTurns();
    double idleTurns = (double) (total(idle) - total(served)) / IDLE_SECONDS;
    long requestTurns = 0;
    for (WakeUpCause cause : REQUEST_CAUSES) {
      requestTurns += served.get(cause) - before.get(cause);
    }
    double turnsPerRequest = (double) requestTurns / result.sent();
    System.out.printf(
        "turns of a data plane's event loop: %.1f in an idle second (%.0f at most), %.1f for a"
            + " request (%.0f at most); %d of %d requests answered%n",
        idleTurns,
        MAX_IDLE_TURNS,
        turnsPerRequest,
        MAX_REQUEST_TURNS,
        result.succeeded(),
        result.sent());
    for (WakeUpCause cause : WakeUpCause.values()) {
      System.out.printf(
          "  %s: %d while requests came, %d in idle seconds%n",
          cause.label(),
          served.get(cause) - before.get(cause),
          idle.get(cause) - served.get(cause));
    }
    return idleTurns <= MAX_IDLE_TURNS
        && turnsPerRequest <= MAX_REQUEST_TURNS
        && result.succeeded() == result.sent();
  }

  private static long total(Map<WakeUpCause, Long> turns) {
    return turns.values().stream().mapToLong(Long::longValue).sum();
  }
}
