package slateslip.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import slateslip.logging.LogSetup;
import slateslip.settings.NodeSettings;
import slateslip.settings.SettingsOutcome;

/**
 * Entry point of the command lines of both programs. Without arguments, or with {@code run}, starts
 * the program. The classes that parse other commands are loaded only for those commands, so that
 * starting the program does not load them.
 */
public final class CommandLine {
  /** Environment variable with the path of the settings file. */
  public static final String SETTINGS_VARIABLE = "SLATESLIP_CONFIG";

  private static final String RUN = "run";

  private final Program program;
  private final ProgramStart start;
  private final PrintStream output;
  private final PrintStream errors;

  CommandLine(Program program, ProgramStart start, PrintStream output, PrintStream errors) {
    this.program = program;
    this.start = start;
    this.output = output;
    this.errors = errors;
  }

  /**
   * Executes a command line. Ends the process with an exit status when a command has completed or
   * failed; returns if the command has started the program.
   */
  public static void main(Program program, ProgramStart start, String[] arguments) {
    CommandLine commandLine = new CommandLine(program, start, System.out, System.err);
    boolean starts = startsProgram(arguments);
    int status = commandLine.execute(arguments, System.getenv(SETTINGS_VARIABLE));
    if (!starts || status != ExitStatus.SUCCESS) {
      System.exit(status);
    }
  }

  /**
   * Executes a command and returns the exit status. A null {@code settingsPath} means that no
   * settings file is given.
   */
  int execute(String[] arguments, String settingsPath) {
    if (startsProgram(arguments)) {
      return run(settingsPath);
    }
    return new Commands(program, output, errors).execute(arguments, settingsPath);
  }

  private static boolean startsProgram(String[] arguments) {
    return arguments.length == 0 || (arguments.length == 1 && arguments[0].equals(RUN));
  }

  private int run(String settingsPath) {
    if (settingsPath == null || settingsPath.isEmpty()) {
      errors.println(SETTINGS_VARIABLE + " does not give the path of the settings file");
      return ExitStatus.INVALID;
    }
    Path file = Path.of(settingsPath);
    SettingsOutcome outcome = NodeSettings.load(file);
    if (outcome instanceof SettingsOutcome.Invalid invalid) {
      errors.println(file + " cannot be used:");
      errors.println(invalid.message());
      return ExitStatus.INVALID;
    }
    return start(file, ((SettingsOutcome.Valid) outcome).settings());
  }

  private int start(Path file, NodeSettings settings) {
    LogSetup.install(settings.node());
    try {
      start.start(file, settings);
      return ExitStatus.SUCCESS;
    } catch (Exception failure) {
      errors.println(program.jar() + " cannot start: " + failure);
      return ExitStatus.FAILURE;
    }
  }
}
