package slateslip.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Makes the class archives of both programs: a control agent and a data plane of a local fleet
 * serve requests of every kind, and write what they have loaded when they end. A program that is
 * started with such an archive neither reads nor verifies these classes again.
 */
public final class ArchiveTrainingMain {
  private static final int FAILURE = 1;
  private static final int USAGE_ERROR = 2;
  private static final int ROUNDS = 20;
  private static final int CONFIGURATIONS = 3;
  private static final Logger ROOT_LOG = Logger.getLogger("");

  private ArchiveTrainingMain() {}

  /** Arguments: the folder with the jars, and the archive of each program that is to be made. */
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

  /** Whether all ordinary requests were served. */
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
      traffic.exceptions();
      traffic.changeConfiguration(CONFIGURATIONS);
      int served = traffic.rounds(ROUNDS);
      fleet.removeLastBackend();
      served += traffic.rounds(ROUNDS);
      fleet.crashFirstBackend();
      served += traffic.rounds(ROUNDS);
      out.println(served + " requests served");
      return served > 2 * ROUNDS;
    } finally {
      traffic.close();
      fleet.close();
    }
  }
}
