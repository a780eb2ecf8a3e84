package slateslip.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Measures the processor time of a data plane: of a start until its first answer, of its first
 * requests, of a request after those, and of a second without any. The figures of two builds are
 * compared by running both on the same machine, one after the other.
 */
public final class ProcessorTimeMain {
  private static final int USAGE_ERROR = 2;
  private static final int FIRST_ROUNDS = 60;
  private static final int LATER_ROUNDS = 60;
  private static final int REQUESTS_PER_ROUND = 2;
  private static final int IDLE_SECONDS = 5;
  private static final Logger ROOT_LOG = Logger.getLogger("");

  private ProcessorTimeMain() {}

  /** Arguments: the folder with the jars, and options of the measured data plane's JVM. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    if (arguments.length == 0) {
      System.err.println("usage: ProcessorTimeMain JARS [JVM_OPTION]...");
      System.exit(USAGE_ERROR);
    }
    ROOT_LOG.setLevel(Level.WARNING);
    List<String> options = Arrays.asList(arguments).subList(1, arguments.length);
    FleetPrograms programs = new FleetPrograms(Path.of(arguments[0]), List.of(), options);
    FleetAddresses addresses = FleetAddresses.withFront(0);
    LocalFleet fleet = new LocalFleet(addresses, programs);
    FleetTraffic traffic = new FleetTraffic(addresses);
    try {
      if (fleet.start() instanceof LocalFleet.Outcome.Failed failed) {
        System.out.println(failed.reason());
        return;
      }
      measure(fleet.dataPlane(0), addresses, traffic);
    } finally {
      traffic.close();
      fleet.close();
    }
  }

  private static void measure(
      ChildProcess dataPlane, FleetAddresses addresses, FleetTraffic traffic)
      throws IOException, InterruptedException {
    SampleRequest.send(addresses.frontUrl(0), System.out);
    Duration started = dataPlane.processorTime();
    traffic.rounds(FIRST_ROUNDS);
    Duration first = dataPlane.processorTime();
    traffic.rounds(LATER_ROUNDS);
    Duration later = dataPlane.processorTime();
    Thread.sleep(Duration.ofSeconds(IDLE_SECONDS).toMillis());
    Duration idle = dataPlane.processorTime();
    System.out.printf("until the first answer: %d ms%n", started.toMillis());
    print("a request of the first ones", started, first, FIRST_ROUNDS * REQUESTS_PER_ROUND);
    print("a request after those", first, later, LATER_ROUNDS * REQUESTS_PER_ROUND);
    print("an idle second", later, idle, IDLE_SECONDS);
  }

  private static void print(String phase, Duration from, Duration to, int count) {
    double millis = to.minus(from).toNanos() / 1e6 / count;
    System.out.printf("%s: %.2f ms%n", phase, millis);
  }
}
