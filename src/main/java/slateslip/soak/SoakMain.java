package slateslip.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs soak tests from the command line. */
public final class SoakMain {
  private static final int USAGE_ERROR = 2;
  private static final int FAILURE = 1;
  private static final String HELP =
      "usage: java -cp target/slateslip-local.jar slateslip.soak.SoakMain [options]\n"
          + "  --seed N           first seed, 1 by default; the same seed repeats the same plan\n"
          + "  --seeds N          number of seeds, 1 by default\n"
          + "  --seconds N        duration of the client traffic, 30 by default\n"
          + "  --data-planes N    number of data planes, 3 by default\n"
          + "  --control-agents N number of control agents, 3 by default\n"
          + "  --clients N        number of clients, 24 by default\n"
          + "  --jars DIR         folder with the jars of both programs, by default this jar's folder\n"
          + "  --help             print this help";

  /**
   * Strong reference to the root logger. The log manager holds loggers weakly, so the level set
   * here would be lost if the logger were garbage-collected.
   */
  private static final Logger ROOT_LOG = Logger.getLogger("");

  private SoakMain() {}

  /**
   * Runs one soak test per seed, one after the other. Exits with status 1 if a run violated a rule,
   * and with status 2 if the arguments are invalid.
   */
  public static void main(String[] arguments) throws Exception {
    ROOT_LOG.setLevel(Level.WARNING);
    try {
      CommandLine command = new DefaultParser().parse(commandLineOptions(), arguments);
      if (command.hasOption("help")) {
        System.out.println(HELP);
        return;
      }
      System.exit(runSeeds(command, System.out));
    } catch (ParseException invalid) {
      System.err.println(invalid.getMessage() + "\n" + HELP);
      System.exit(USAGE_ERROR);
    }
  }

  private static Options commandLineOptions() {
    Options options = new Options();
    for (String name :
        new String[] {"seed", "seeds", "seconds", "data-planes", "control-agents", "clients"}) {
      options.addOption(Option.builder().longOpt(name).hasArg().type(Number.class).get());
    }
    options.addOption(Option.builder().longOpt("jars").hasArg().get());
    options.addOption(Option.builder().longOpt("help").get());
    return options;
  }

  private static int number(CommandLine command, String name, int defaultValue)
      throws ParseException {
    Number given = command.getParsedOptionValue(name, (Number) (long) defaultValue);
    return given.intValue();
  }

  private static int runSeeds(CommandLine command, PrintStream out)
      throws ParseException, IOException, InterruptedException, URISyntaxException {
    Path jars = command.hasOption("jars") ? Path.of(command.getOptionValue("jars")) : jarFolder();
    int first = number(command, "seed", 1);
    int failed = 0;
    for (int seed = first; seed < first + number(command, "seeds", 1); seed++) {
      SoakOptions options =
          new SoakOptions(
              seed,
              number(command, "seconds", 30),
              number(command, "data-planes", 3),
              number(command, "control-agents", 3),
              number(command, "clients", 24),
              jars);
      failed += runSeed(options, out) ? 0 : 1;
    }
    out.println(failed == 0 ? "soak: no rule broken" : "soak: " + failed + " seeds broke a rule");
    return failed == 0 ? 0 : FAILURE;
  }

  /**
   * Runs the soak test of one seed and returns whether no rule was violated. The folder with the
   * logs is kept if a rule was violated.
   */
  private static boolean runSeed(SoakOptions options, PrintStream out)
      throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("slateslip-soak-");
    SoakRun.Result result = new SoakRun(options, folder).run();
    SoakReport.print(options, result, out);
    boolean passed = result.violations().isEmpty();
    if (passed) {
      SoakFleet.delete(folder);
    } else {
      SoakPlan.draw(options).forEach(event -> out.println("  plan: " + event));
      out.println("logs are in " + folder);
    }
    return passed;
  }

  private static Path jarFolder() throws URISyntaxException {
    return Path.of(SoakMain.class.getProtectionDomain().getCodeSource().getLocation().toURI())
        .getParent();
  }
}
