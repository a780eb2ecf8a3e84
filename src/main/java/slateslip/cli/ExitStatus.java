package slateslip.cli;

/** Exit statuses of the command lines of both programs. */
final class ExitStatus {
  /** The command has completed. */
  static final int SUCCESS = 0;

  /** The program could not start, or no control agent gave a usable response. */
  static final int FAILURE = 1;

  /** The command line, the settings or the configuration are invalid. */
  static final int INVALID = 2;

  private ExitStatus() {}
}
