package slateslip.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLineParser;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import slateslip.configuration.ConfigurationDocument;
import slateslip.configuration.ConfigurationOutcome;
import slateslip.configuration.FleetConfiguration;
import slateslip.settings.NodeSettings;
import slateslip.settings.SettingsOutcome;

/** Parses and executes all commands except the one that starts the program. */
final class Commands {
  private static final String HELP = "help";
  private static final String VERSION = "version";
  private static final String CONTROL = "control";
  private static final String BASE = "base";
  private static final String UNKNOWN_VERSION = "unpackaged";

  private final Program program;
  private final PrintStream output;
  private final PrintStream errors;

  Commands(Program program, PrintStream output, PrintStream errors) {
    this.program = program;
    this.output = output;
    this.errors = errors;
  }

  int execute(String[] arguments, String settingsPath) {
    try {
      CommandLineParser parser = new DefaultParser();
      org.apache.commons.cli.CommandLine parsed = parser.parse(options(), arguments);
      if (parsed.hasOption(HELP)) {
        printHelp(output);
        return ExitStatus.SUCCESS;
      }
      if (parsed.hasOption(VERSION)) {
        output.println(program.jar() + " " + version());
        return ExitStatus.SUCCESS;
      }
      return executeCommand(parsed, settingsPath);
    } catch (ParseException invalid) {
      return reportUsageError(invalid.getMessage());
    }
  }

  private Options options() {
    Options options = new Options();
    options.addOption(Option.builder("h").longOpt(HELP).desc("show this text").get());
    options.addOption(Option.builder("V").longOpt(VERSION).desc("show the version").get());
    if (program == Program.CONTROL_PLANE) {
      options.addOption(
          Option.builder("c")
              .longOpt(CONTROL)
              .hasArg()
              .argName("ADDRESS,...")
              .desc("control agents, a.b.c.d:port; else seed_nodes of $SLATESLIP_CONFIG")
              .get());
      options.addOption(
          Option.builder("b")
              .longOpt(BASE)
              .hasArg()
              .argName("VERSION")
              .desc("version that the configuration builds on; else the newest one")
              .get());
    }
    return options;
  }

  private int executeCommand(org.apache.commons.cli.CommandLine parsed, String settingsPath)
      throws ParseException {
    List<String> commandWords = parsed.getArgList();
    if (commandWords.size() == 2 && commandWords.get(0).equals("check-settings")) {
      return checkSettings(Path.of(commandWords.get(1)));
    }
    if (commandWords.size() == 3 && commandWords.subList(0, 2).equals(List.of("config", "check"))) {
      return checkConfiguration(Path.of(commandWords.get(2)));
    }
    if (commandWords.size() >= 2 && commandWords.get(0).equals("losses")) {
      return new LossReport(output, errors).print(commandWords.subList(1, commandWords.size()));
    }
    if (program == Program.CONTROL_PLANE) {
      OperatorCommands operator = new OperatorCommands(output, errors);
      String addresses = parsed.getOptionValue(CONTROL);
      String base = parsed.getOptionValue(BASE);
      OperatorCommands.Outcome outcome =
          operator.execute(commandWords, addresses, base, settingsPath);
      if (outcome.known()) {
        return outcome.status();
      }
    }
    return reportUsageError(
        commandWords.isEmpty()
            ? "no command"
            : "unknown command: " + String.join(" ", commandWords));
  }

  private int reportUsageError(String reason) {
    errors.println(reason);
    printHelp(errors);
    return ExitStatus.INVALID;
  }

  private int checkSettings(Path file) {
    SettingsOutcome outcome = NodeSettings.load(file);
    if (outcome instanceof SettingsOutcome.Invalid invalid) {
      errors.println(invalid.message());
      return ExitStatus.INVALID;
    }
    output.println(file + ": valid");
    if (outcome instanceof SettingsOutcome.Valid valid) {
      valid.settings().warnings().forEach(warning -> output.println("warning: " + warning));
    }
    return ExitStatus.SUCCESS;
  }

  private int checkConfiguration(Path file) {
    byte[] document;
    try {
      document = Files.readAllBytes(file);
    } catch (IOException unreadable) {
      errors.println("cannot read " + file + ": " + unreadable);
      return ExitStatus.INVALID;
    }
    ConfigurationOutcome outcome = ConfigurationDocument.parse(document);
    if (outcome instanceof ConfigurationOutcome.Invalid invalid) {
      errors.println(file + ": " + invalid.message());
      return ExitStatus.INVALID;
    }
    FleetConfiguration read = ((ConfigurationOutcome.Parsed) outcome).document().configuration();
    output.println(
        file
            + ": valid, version "
            + read.version()
            + ", "
            + read.routes().size()
            + " routes, "
            + read.services().size()
            + " services, "
            + read.tenants().size()
            + " tenants");
    return ExitStatus.SUCCESS;
  }

  private void printHelp(PrintStream stream) {
    PrintWriter writer = new PrintWriter(stream, true, StandardCharsets.UTF_8);
    HelpFormatter formatter =
        HelpFormatter.builder()
            .setHelpAppendable(new TextHelpAppendable(writer))
            .setShowSince(false)
            .get();
    try {
      formatter.printHelp("java -jar " + program.jar() + ".jar", usage(), options(), "", true);
    } catch (IOException unwritable) {
      errors.println("cannot write the help: " + unwritable);
    }
    writer.flush();
  }

  private String usage() {
    String common =
        "Commands: run (or none): start with the settings file of $SLATESLIP_CONFIG;"
            + " check-settings FILE; config check FILE; losses FILE|ADDRESS... (how requests ended,"
            + " by reason, added up over the metrics of data planes)";
    if (program == Program.DATA_PLANE) {
      return common + ".";
    }
    return common + "; status; config get; config put FILE; config patch FILE.";
  }

  private static String version() {
    String version = Commands.class.getPackage().getImplementationVersion();
    return version == null ? UNKNOWN_VERSION : version;
  }
}
