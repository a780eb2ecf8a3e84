package slateslip.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Plays distribution runs, one size after the other, and tells the wire's sizes; a line each. */
public final class ScaleMain {
  private static final Path JAR = Path.of("target/slateslip-controlplane.jar");
  private static final String SIZES = "data-planes";
  private static final String BACKENDS = "backends";
  private static final String AGENTS = "agents";
  private static final String CHANGES = "changes";
  private static final String WIRE = "wire";

  private ScaleMain() {}

  /** Runs what the options say; ends with status 1 if a run did not get through. */
  public static void main(String[] arguments) throws InterruptedException, ParseException {
    CommandLine options = new DefaultParser().parse(options(), arguments);
    if (options.hasOption(WIRE)) {
      WireSizes.lines().forEach(System.out::println);
      return;
    }
    try {
      play(options);
    } catch (IOException failed) {
      System.err.println(failed.getMessage());
      System.exit(1);
    }
    System.exit(0);
  }

  private static Options options() {
    Options options = new Options();
    options.addOption(new Option(null, SIZES, true, "sizes, comma between"));
    options.addOption(new Option(null, BACKENDS, true, "hollow backends"));
    options.addOption(new Option(null, AGENTS, true, "control agents"));
    options.addOption(new Option(null, CHANGES, true, "versions a size"));
    options.addOption(new Option(null, WIRE, false, "sizes of messages alone"));
    return options;
  }

  private static void play(CommandLine options) throws IOException, InterruptedException {
    int[] sizes =
        Arrays.stream(options.getOptionValue(SIZES, "10").split(","))
            .mapToInt(Integer::parseInt)
            .toArray();
    for (int dataPlanes : sizes) {
      RunSize size =
          new RunSize(
              number(options, AGENTS, 3),
              dataPlanes,
              number(options, BACKENDS, 30),
              number(options, CHANGES, 5));
      Path folder = Files.createTempDirectory(Path.of("target"), "scale-");
      System.out.println(new DistributionRun(folder, JAR, size).play().line());
    }
  }

  private static int number(CommandLine options, String name, int standard) {
    return Integer.parseInt(options.getOptionValue(name, Integer.toString(standard)));
  }
}
