package slateslip.cli;

/** Exit statuses of both programs. */
final class ExitStatus {
  /** Done. */
  static final int SUCCESS = 0;

  /** The program could not start, or no control agent gave a usable response. */
  static final int FAILURE = 1;

  /** The command line, the settings or the configuration are wrong. */
  static final int INVALID = 2;

  private ExitStatus() {}
}
