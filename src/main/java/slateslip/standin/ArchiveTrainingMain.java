package slateslip.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Creates the class data sharing archives of both programs. A local fleet serves requests of every
 * kind, and one control agent and one data plane write the classes that they have loaded to their
 * archives when they exit. A program that is started with such an archive does not read and verify
 * these classes again.
 */
public final class ArchiveTrainingMain {
  private static final int FAILURE = 1;
  private static final int USAGE_ERROR = 2;
  private static final int ROUNDS = 20;
  private static final int CONFIGURATIONS = 3;
  private static final Logger ROOT_LOG = Logger.getLogger("");

  private ArchiveTrainingMain() {}

  /**
   * Creates both archives. Exits with status 0 if both archives exist and the fleet served the
   * requests, with status 1 otherwise, and with status 2 if the arguments are invalid.
   *
   * @param arguments the folder with the jars, the archive file of the control plane and the
   *     archive file of the data plane
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    if (arguments.length != 3) {
      System.err.println(
          "usage: ArchiveTrainingMain JARS CONTROL_PLANE_ARCHIVE DATA_PLANE_ARCHIVE");
      System.exit(USAGE_ERROR);
    }
    ROOT_LOG.setLevel(Level.WARNING);
    Path controlPlaneArchive = Path.of(arguments[1]);
    Path dataPlaneArchive = Path.of(arguments[2]);
    FleetPrograms programs =
        new FleetPrograms(
            Path.of(arguments[0]),
            List.of("-XX:ArchiveClassesAtExit=" + controlPlaneArchive),
            List.of(
                "-XX:ArchiveClassesAtExit=" + dataPlaneArchive,
                "-Dio.netty.machineId=02:00:00:00:00:01",
                "-Xlog:disable"));
    boolean served = run(FleetAddresses.withFront(0), programs, System.out);
    boolean written = Files.exists(controlPlaneArchive) && Files.exists(dataPlaneArchive);
    System.exit(served && written ? 0 : FAILURE);
  }

  /**
   * Starts a fleet and sends requests to it. Returns whether the fleet started, served the sample
   * request and served more than 40 of the 120 ordinary requests that follow. A third of the
   * ordinary requests is sent with all backends, a third after the removal of a backend and a third
   * after a backend crash.
   */
  private static boolean run(FleetAddresses addresses, FleetPrograms programs, PrintStream out)
      throws IOException, InterruptedException {
    LocalFleet fleet = new LocalFleet(addresses, programs);
    FleetTraffic traffic = new FleetTraffic(addresses);
    try {
      if (fleet.start() instanceof LocalFleet.Outcome.Failed failed) {
        out.println(failed.reason());
        return false;
      }
      if (!SampleRequest.send(addresses.frontUrl(0), out)) {
        return false;
      }
      traffic.sendExceptionalRequests();
      traffic.changeConfiguration(CONFIGURATIONS);
      int served = traffic.sendRounds(ROUNDS);
      fleet.removeLastBackend();
      served += traffic.sendRounds(ROUNDS);
      fleet.crashFirstBackend();
      served += traffic.sendRounds(ROUNDS);
      out.println(served + " requests served");
      return served > 2 * ROUNDS;
    } finally {
      traffic.close();
      fleet.close();
    }
  }
}
