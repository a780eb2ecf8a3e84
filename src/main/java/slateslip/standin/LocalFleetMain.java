package slateslip.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Starts a local fleet from the command line. */
public final class LocalFleetMain {
  private static final int FAILURE = 1;
  private static final int USAGE_ERROR = 2;
  private static final int DEFAULT_PORT = 8360;
  private static final String HELP =
      "usage: java -jar slateslip-local.jar [--port N] [--once]\n"
          + "  --port N  port for clients, 8360 by default; 0 selects a free port\n"
          + "  --once    exit after the response to the sample request\n"
          + "  --help    print this help";

  /**
   * Strong reference to the root logger. The log manager holds loggers weakly, so the level set
   * here would be lost if the logger were garbage-collected.
   */
  private static final Logger ROOT_LOG = Logger.getLogger("");

  private LocalFleetMain() {}

  /**
   * Starts a fleet, sends the sample request to it, and keeps the fleet running until SIGINT or
   * SIGTERM.
   */
  public static void main(String[] arguments) throws Exception {
    Options options = new Options();
    options.addOption(Option.builder().longOpt("port").hasArg().type(Number.class).get());
    options.addOption(Option.builder().longOpt("once").get());
    options.addOption(Option.builder().longOpt("help").get());
    CommandLine command;
    int port;
    try {
      command = new DefaultParser().parse(options, arguments);
      Number given = command.getParsedOptionValue("port", (Number) (long) DEFAULT_PORT);
      port = given.intValue();
    } catch (ParseException invalid) {
      System.err.println(invalid.getMessage() + "\n" + HELP);
      System.exit(USAGE_ERROR);
      return;
    }
    if (command.hasOption("help")) {
      System.out.println(HELP);
      return;
    }
    ROOT_LOG.setLevel(Level.WARNING);
    run(FleetAddresses.withFront(port), command.hasOption("once"), System.out);
  }

  private static void run(FleetAddresses addresses, boolean once, PrintStream out)
      throws IOException, URISyntaxException, InterruptedException {
    LocalFleet fleet =
        new LocalFleet(addresses, new FleetPrograms(jarFolder(), List.of(), List.of()));
    AtomicInteger status = new AtomicInteger();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(fleet, status), "ending"));
    out.println("starting; settings, data and logs are in " + fleet.folder());
    if (fleet.start() instanceof LocalFleet.Outcome.Failed failed) {
      out.println(failed.reason());
      exit(status, FAILURE);
    }
    out.println("ready\n\n" + SampleRequest.curl(addresses.frontUrl(0)) + "\n");
    boolean served = SampleRequest.send(addresses.frontUrl(0), out);
    if (once || !served) {
      exit(status, served ? 0 : FAILURE);
    }
    out.println("serving until SIGINT or SIGTERM");
    new CountDownLatch(1).await();
  }

  private static void exit(AtomicInteger status, int code) {
    status.set(code);
    System.exit(code);
  }

  private static Path jarFolder() throws URISyntaxException {
    return Path.of(LocalFleetMain.class.getProtectionDomain().getCodeSource().getLocation().toURI())
        .getParent();
  }

  /**
   * Stops the fleet and halts the JVM. The exit status is 0 if a signal requested the shutdown and
   * the shutdown succeeded.
   */
  private static void shutDown(LocalFleet fleet, AtomicInteger status) {
    try {
      fleet.close();
    } catch (InterruptedException | IOException | RuntimeException failed) {
      System.err.println("the fleet was not shut down cleanly: " + failed);
      status.set(FAILURE);
    }
    Runtime.getRuntime().halt(status.get());
  }
}
