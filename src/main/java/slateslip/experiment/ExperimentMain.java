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

/** Command line of the experiments. */
public final class ExperimentMain {
  private static final int USAGE_ERROR = 2;
  private static final int DEFAULT_THREADS = 2;

  private ExperimentMain() {}

  /** Plays an experiment and ends with 0, or with 2 if it cannot be played. */
  public static void main(String[] arguments) throws IOException {
    System.exit(run(arguments, System.out, System.err));
  }

  static int run(String[] arguments, PrintStream out, PrintStream err) throws IOException {
    Options options = options();
    CommandLine command;
    try {
      command = new DefaultParser().parse(options, arguments);
    } catch (ParseException wrong) {
      err.println(wrong.getMessage());
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
    ExperimentFile.Reading reading = ExperimentFile.read(Path.of(command.getArgList().get(0)));
    if (reading instanceof ExperimentFile.Reading.Invalid invalid) {
      err.println(invalid.message());
      return USAGE_ERROR;
    }
    play(((ExperimentFile.Reading.Valid) reading).experiment(), command, out);
    return 0;
  }

  private static void play(Experiment experiment, CommandLine command, PrintStream out)
      throws IOException {
    int threads =
        Integer.parseInt(command.getOptionValue("threads", String.valueOf(DEFAULT_THREADS)));
    List<VariantResult> results = ExperimentRun.play(experiment, threads);
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
    options.addOption(Option.builder().longOpt("help").desc("say this").get());
    options.addOption(
        Option.builder().longOpt("lines").hasArg().desc("write JSON lines here").get());
    options.addOption(Option.builder().longOpt("plot").hasArg().desc("write an SVG here").get());
    options.addOption(
        Option.builder().longOpt("threads").hasArg().desc("worlds played at once").get());
    return options;
  }
}
