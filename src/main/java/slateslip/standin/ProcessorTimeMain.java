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
 * Measures the processor time of a data plane by thread: of a start until its first answer, of its
 * first seconds under several rates of requests, and of seconds without any. Several builds are
 * measured by turns on the same machine. A request that is not answered as it should be fails the
 * run: refusing is cheap, and would be taken for a gain.
 */
public final class ProcessorTimeMain {
  private static final int USAGE_ERROR = 2;
  private static final int FAILURE = 1;
  private static final int DEFAULT_TURNS = 5;
  private static final int DEFAULT_SECONDS = 30;
  private static final int IDLE_SECONDS = 5;
  private static final double[] RATES = {3, 7, 14};
  private static final Logger ROOT_LOG = Logger.getLogger("");

  private final int turns;
  private final Duration length;
  private final List<String> options;
  private final Map<String, List<Double>> figures = new LinkedHashMap<>();

  private ProcessorTimeMain(int turns, Duration length, List<String> options) {
    this.turns = turns;
    this.length = length;
    this.options = options;
  }

  /**
   * Arguments: the number of turns and the seconds of each rate ({@code 5x30}) if they are not to
   * be the default, the folders with the jars of each build, separated by commas, and options of
   * the measured data plane's JVM; paths in them are relative to the folder above the jars.
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    ROOT_LOG.setLevel(Level.WARNING);
    boolean sized = arguments.length > 0 && arguments[0].matches("[0-9]+x[0-9]+");
    int first = sized ? 1 : 0;
    if (arguments.length <= first) {
      System.err.println("usage: ProcessorTimeMain [TURNSxSECONDS] JARS[,JARS...] [JVM_OPTION]...");
      System.exit(USAGE_ERROR);
    }
    String[] size = sized ? arguments[0].split("x", -1) : new String[0];
    int turns = sized ? Integer.parseInt(size[0]) : DEFAULT_TURNS;
    int seconds = sized ? Integer.parseInt(size[1]) : DEFAULT_SECONDS;
    List<String> options = Arrays.asList(arguments).subList(first + 1, arguments.length);
    List<String> builds = List.of(arguments[first].split(",", -1));
    boolean complete =
        new ProcessorTimeMain(turns, Duration.ofSeconds(seconds), options).run(builds);
    System.exit(complete ? 0 : FAILURE);
  }

  /** Whether all turns were measured. */
  private boolean run(List<String> builds) throws IOException, InterruptedException {
    for (int turn = 0; turn < turns; turn++) {
      for (String build : builds) {
        for (double rate : RATES) {
          if (!turn(build, rate)) {
            return false;
          }
        }
      }
    }
    figures.forEach((name, values) -> System.out.println(name + ": " + Spread.of(values)));
    return true;
  }

  /** One life of a fleet under one rate; whether every request was answered. */
  private boolean turn(String build, double rate) throws IOException, InterruptedException {
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
    PacedTraffic.Result result = traffic.paced().run(rate, length);
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
    String phase = "%s, first %d s at %.0f/s".formatted(build, length.toSeconds(), rate);
    add(build + ", start, ms", started, 1);
    add(phase + ", ms a second", served.since(started), length.toSeconds());
    addFigure(phase + ", turns a second", perSecond(servedTurns - startTurns, length.toSeconds()));
    add(build + ", idle, ms a second", idle.since(served), IDLE_SECONDS);
    addFigure(build + ", idle, turns a second", perSecond(idleTurns - servedTurns, IDLE_SECONDS));
    return true;
  }

  private static long total(Map<WakeUpCause, Long> turns) {
    return turns.values().stream().mapToLong(Long::longValue).sum();
  }

  private static double perSecond(long count, long seconds) {
    return (double) count / seconds;
  }

  private void add(String phase, ProcessorTime used, long count) {
    addFigure(phase, used.total().toNanos() / 1e6 / count);
    for (ThreadKind kind : used.byKind().keySet()) {
      addFigure("  " + phase + ", " + kind.label(), used.of(kind).toNanos() / 1e6 / count);
    }
  }

  private void addFigure(String name, double value) {
    figures.computeIfAbsent(name, unused -> new ArrayList<>()).add(value);
  }
}
