package slateslip.dataplane;

/**
 * Determines the current step of a graceful shutdown from the time since the termination signal.
 */
final class ShutdownSchedule {
  /** Steps of a shutdown, in their order. */
  enum Step {
    /** Requests are served as before. */
    SERVE,
    /** New requests are refused, and idle connections closed. */
    CLOSE,
    /** Incomplete responses are ended, and their remaining bytes are sent. */
    ABORT,
    /** The process ends. */
    END
  }

  /**
   * How long the platform may still route new connections to this process, in milliseconds. The
   * platform checks readiness once a second, and stops routing after the second failed check.
   */
  private static final long MAX_ROUTING_DELAY_MILLIS = 2_500;

  /**
   * Maximum time between the abort of open responses and the end of the grace period, in
   * milliseconds. Responses are aborted in the last tenth of the grace period at the earliest,
   * because backends may work on them until then.
   */
  private static final long MAX_ABORT_MARGIN_MILLIS = 800;

  private static final long ABORT_MARGIN_DIVISOR = 10;

  /**
   * Divisor for the last part of the time after the abort; this part is reserved for the process to
   * end.
   */
  private static final long END_MARGIN_DIVISOR = 4;

  private final long refuseMillis;
  private final long abortMillis;
  private final long endMillis;

  ShutdownSchedule(long graceMillis) {
    long margin = Math.min(MAX_ABORT_MARGIN_MILLIS, graceMillis / ABORT_MARGIN_DIVISOR);
    abortMillis = graceMillis - margin;
    endMillis = graceMillis - margin / END_MARGIN_DIVISOR;
    refuseMillis = Math.min(MAX_ROUTING_DELAY_MILLIS, abortMillis / 2);
  }

  /**
   * Returns the current step.
   *
   * @param elapsedMillis time since the termination signal, in milliseconds
   * @param connections number of client connections
   */
  Step stepAt(long elapsedMillis, int connections) {
    if (elapsedMillis < refuseMillis) {
      return Step.SERVE;
    }
    if (connections == 0 || elapsedMillis >= endMillis) {
      return Step.END;
    }
    return elapsedMillis < abortMillis ? Step.CLOSE : Step.ABORT;
  }
}
