package slateslip.cli;

/** The programs that have a command line. */
public enum Program {
  /** Forwards requests of clients to backends. */
  DATA_PLANE("slateslip-dataplane"),
  /** Stores the configuration and the sessions of backends. */
  CONTROL_PLANE("slateslip-controlplane");

  private final String jar;

  Program(String jar) {
    this.jar = jar;
  }

  /** Returns the name of the jar of the program, without the extension. */
  public String jar() {
    return jar;
  }
}
