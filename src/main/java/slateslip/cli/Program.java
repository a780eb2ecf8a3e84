package slateslip.cli;

/** One of the two programs. */
public enum Program {
  /** Takes clients' requests. */
  DATA_PLANE("slateslip-dataplane"),
  /** Keeps the configuration and the sessions of backends. */
  CONTROL_PLANE("slateslip-controlplane");

  private final String jar;

  Program(String jar) {
    this.jar = jar;
  }

  /** Name of its jar, without the ending. */
  public String jar() {
    return jar;
  }
}
