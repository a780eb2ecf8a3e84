package slateslip.loadbalancer.scale;

/**
 * A file that describes no experiment; the message is one plain line that names the key at fault.
 */
public final class BadExperiment extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  BadExperiment(String message) {
    super(message);
  }
}
