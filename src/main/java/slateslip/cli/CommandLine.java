package slateslip.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import slateslip.logging.LogSetup;
import slateslip.settings.NodeSettings;
import slateslip.settings.SettingsOutcome;

/**
 * Entry point of both programs' command lines. Without arguments, or with {@code run}, the program
 * is started; only other arguments load the classes that read them.
 */
public final class CommandLine {
  /** Variable with the path of the settings file. */
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
   * Runs a program's command line. The process ends by itself if the command is done or has failed;
   * a program that was started goes on.
   */
  public static void main(Program program, ProgramStart start, String[] arguments) {
    CommandLine commandLine = new CommandLine(program, start, System.out, System.err);
    boolean starts = startsProgram(arguments);
    int status = commandLine.execute(arguments, System.getenv(SETTINGS_VARIABLE));
    if (!starts || status != ExitStatus.SUCCESS) {
      System.exit(status);
    }
  }

  /** Carries a command out and tells the exit status. */
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
