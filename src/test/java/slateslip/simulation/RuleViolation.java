package slateslip.simulation;

/** A rule was broken in a simulated run. */
public final class RuleViolation extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Says which. */
  public RuleViolation(String message) {
    super(message);
  }
}
