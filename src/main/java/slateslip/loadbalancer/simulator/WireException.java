package slateslip.loadbalancer.simulator;

/**
 * Reports input that violates the simulator's protocol; the message names the error and its
 * position.
 */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}
