package slateslip.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import slateslip.experiment.ExperimentRun.VariantResult;

/** Runs an experiment from the command line and prints its results. */
public final class ExperimentMain {
  private static final int USAGE_ERROR = 2;
  private static final int DEFAULT_THREADS = 2;

  private ExperimentMain() {}

  /**
   * Runs an experiment. Exits with status 0, or with status 2 if the arguments or the experiment
   * file are invalid.
   */
  public static void main(String[] arguments) throws IOException {
    System.exit(run(arguments, System.out, System.err));
  }

  static int run(String[] arguments, PrintStream out, PrintStream err) throws IOException {
    Options options = options();
    CommandLine command;
    try {
      command = new DefaultParser().parse(options, arguments);
    } catch (ParseException invalid) {
      err.println(invalid.getMessage());
      return USAGE_ERROR;
    }
    if (command.hasOption("help") || command.getArgList().size() != 1) {
      PrintStream target = command.hasOption("help") ? out : err;
      target.println("usage: experiment FILE [--lines FILE] [--plot FILE] [--threads N]");
      options
          .getOptions()
          .forEach(o -> target.println("  --" + o.getLongOpt() + "  " + o.getDescription()));
      return command.hasOption("help") ? 0 : USAGE_ERROR;
    }
    ExperimentFile.ReadResult result = ExperimentFile.read(Path.of(command.getArgList().get(0)));
    if (result instanceof ExperimentFile.ReadResult.Invalid invalid) {
      err.println(invalid.message());
      return USAGE_ERROR;
    }
    runExperiment(((ExperimentFile.ReadResult.Valid) result).experiment(), command, out);
    return 0;
  }

  private static void runExperiment(Experiment experiment, CommandLine command, PrintStream out)
      throws IOException {
    int threads =
        Integer.parseInt(command.getOptionValue("threads", String.valueOf(DEFAULT_THREADS)));
    List<VariantResult> results = ExperimentRun.run(experiment, threads);
    out.print(ResultTable.format(results));
    if (command.hasOption("lines")) {
      Files.writeString(
          Path.of(command.getOptionValue("lines")), ResultLines.format(experiment.name(), results));
    }
    if (command.hasOption("plot")) {
      Files.writeString(
          Path.of(command.getOptionValue("plot")), ResultPlot.svg(experiment.name(), results));
    }
  }

  private static Options options() {
    Options options = new Options();
    options.addOption(Option.builder().longOpt("help").desc("print this help").get());
    options.addOption(
        Option.builder()
            .longOpt("lines")
            .hasArg()
            .desc("file for the results as JSON lines")
            .get());
    options.addOption(
        Option.builder()
            .longOpt("plot")
            .hasArg()
            .desc("file for the plot of the results as SVG")
            .get());
    options.addOption(
        Option.builder()
            .longOpt("threads")
            .hasArg()
            .desc("number of simulations that run at once")
            .get());
    return options;
  }
}
