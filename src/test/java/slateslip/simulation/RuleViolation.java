package slateslip.simulation;

/** Signals that a simulated run broke a rule. */
public final class RuleViolation extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the broken rule. */
  public RuleViolation(String message) {
    super(message);
  }
}
