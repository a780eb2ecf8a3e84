package slateslip.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import slateslip.eventloop.ProcessorTime;
import slateslip.eventloop.ProcessorTime.ThreadKind;
import slateslip.eventloop.WakeUpCause;

/**
 * Measures the processor time of a data plane by kind of thread in three phases: from the start to
 * the first response, under several request rates, and while the data plane is idle. Several builds
 * are measured alternately on the same machine. The run fails if any request is not served, because
 * rejecting a request costs little processor time and would look like an improvement.
 */
public final class ProcessorTimeMain {
  private static final int USAGE_ERROR = 2;
  private static final int FAILURE = 1;
  private static final int DEFAULT_ROUNDS = 5;
  private static final int DEFAULT_SECONDS = 30;
  private static final int IDLE_SECONDS = 5;
  private static final double[] RATES = {3, 7, 14};
  private static final Logger ROOT_LOG = Logger.getLogger("");

  private final int rounds;
  private final Duration duration;
  private final List<String> options;
  private final Map<String, List<Double>> measurements = new LinkedHashMap<>();

  private ProcessorTimeMain(int rounds, Duration duration, List<String> options) {
    this.rounds = rounds;
    this.duration = duration;
    this.options = options;
  }

  /**
   * Measures the given builds. Exits with status 0 if all rounds were measured, with status 1
   * otherwise, and with status 2 if the arguments are invalid.
   *
   * @param arguments optionally the number of rounds and the seconds at each rate (by default
   *     {@code 5x30}); the folders with the jars of each build, separated by commas; and optionally
   *     JVM options of the measured data plane, in which paths are relative to the parent of the
   *     folder with the jars
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    ROOT_LOG.setLevel(Level.WARNING);
    boolean sizeGiven = arguments.length > 0 && arguments[0].matches("[0-9]+x[0-9]+");
    int first = sizeGiven ? 1 : 0;
    if (arguments.length <= first) {
      System.err.println(
          "usage: ProcessorTimeMain [ROUNDSxSECONDS] JARS[,JARS...] [JVM_OPTION]...");
      System.exit(USAGE_ERROR);
    }
    String[] size = sizeGiven ? arguments[0].split("x", -1) : new String[0];
    int rounds = sizeGiven ? Integer.parseInt(size[0]) : DEFAULT_ROUNDS;
    int seconds = sizeGiven ? Integer.parseInt(size[1]) : DEFAULT_SECONDS;
    List<String> options = Arrays.asList(arguments).subList(first + 1, arguments.length);
    List<String> builds = List.of(arguments[first].split(",", -1));
    boolean complete =
        new ProcessorTimeMain(rounds, Duration.ofSeconds(seconds), options).run(builds);
    System.exit(complete ? 0 : FAILURE);
  }

  /**
   * Measures all builds at all rates in every round and prints the results. Returns false if a
   * measurement failed.
   */
  private boolean run(List<String> builds) throws IOException, InterruptedException {
    for (int round = 0; round < rounds; round++) {
      for (String build : builds) {
        for (double rate : RATES) {
          if (!measureBuild(build, rate)) {
            return false;
          }
        }
      }
    }
    measurements.forEach((name, values) -> System.out.println(name + ": " + Spread.of(values)));
    return true;
  }

  /**
   * Starts a fleet, measures it at one rate and stops it. Returns whether the fleet started and
   * served every request.
   */
  private boolean measureBuild(String build, double rate) throws IOException, InterruptedException {
    FleetPrograms programs = new FleetPrograms(Path.of(build), List.of(), options);
    FleetAddresses addresses = FleetAddresses.withFront(0);
    LocalFleet fleet = new LocalFleet(addresses, programs);
    FleetTraffic traffic = new FleetTraffic(addresses);
    try {
      if (fleet.start() instanceof LocalFleet.Outcome.Failed failed) {
        System.out.println(failed.reason());
        return false;
      }
      return measure(build, rate, fleet.dataPlane(0), addresses, traffic);
    } finally {
      traffic.close();
      fleet.close();
    }
  }

  private boolean measure(
      String build,
      double rate,
      ChildProcess dataPlane,
      FleetAddresses addresses,
      FleetTraffic traffic)
      throws IOException, InterruptedException {
    if (!SampleRequest.send(addresses.frontUrl(0), System.err)) {
      return false;
    }
    ProcessorTime started = dataPlane.processorTime();
    long startTurns = total(traffic.eventLoopTurns());
    PacedTraffic.Result result = traffic.pacedTraffic().run(rate, duration);
    ProcessorTime served = dataPlane.processorTime();
    long servedTurns = total(traffic.eventLoopTurns());
    Thread.sleep(Duration.ofSeconds(IDLE_SECONDS).toMillis());
    ProcessorTime idle = dataPlane.processorTime();
    long idleTurns = total(traffic.eventLoopTurns());
    if (result.succeeded() != result.sent()) {
      System.out.printf(
          "%s: only %d of %d requests were answered%n", build, result.succeeded(), result.sent());
      return false;
    }
    String phase = "%s, first %d s at %.0f/s".formatted(build, duration.toSeconds(), rate);
    add(build + ", start, ms", started, 1);
    add(phase + ", ms a second", served.since(started), duration.toSeconds());
    addMeasurement(
        phase + ", turns a second", perSecond(servedTurns - startTurns, duration.toSeconds()));
    add(build + ", idle, ms a second", idle.since(served), IDLE_SECONDS);
    addMeasurement(
        build + ", idle, turns a second", perSecond(idleTurns - servedTurns, IDLE_SECONDS));
    return true;
  }

  private static long total(Map<WakeUpCause, Long> turns) {
    return turns.values().stream().mapToLong(Long::longValue).sum();
  }

  private static double perSecond(long count, long seconds) {
    return (double) count / seconds;
  }

  private void add(String phase, ProcessorTime used, long count) {
    addMeasurement(phase, used.total().toNanos() / 1e6 / count);
    for (ThreadKind kind : used.byKind().keySet()) {
      addMeasurement("  " + phase + ", " + kind.label(), used.of(kind).toNanos() / 1e6 / count);
    }
  }

  private void addMeasurement(String name, double value) {
    measurements.computeIfAbsent(name, unused -> new ArrayList<>()).add(value);
  }
}
