package slateslip.dataplane.backend;

import java.util.concurrent.TimeUnit;

/**
 * Estimates the time after which a connection that is not yet established counts as late. The
 * estimate is computed like the retransmission timeout of TCP (RFC 6298): the smoothed connect time
 * plus four times its mean deviation. Confined to the event loop.
 */
final class ConnectTimeEstimator {
  private static final double TIME_WEIGHT = 1.0 / 8;
  private static final double DEVIATION_WEIGHT = 1.0 / 4;
  private static final double DEVIATIONS = 4;

  /**
   * Lower limit of the estimate. After the process itself was paused for a moment, all its
   * connections appear late by the length of the pause.
   */
  private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Estimate before the first measurement. */
  private static final long INITIAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  private double smoothedNanos;
  private double deviationNanos;
  private boolean measured;

  /** Records the time that a connection took to be established, in nanoseconds. */
  void recordConnectTime(long nanos) {
    if (measured) {
      double error = Math.abs(smoothedNanos - nanos);
      deviationNanos += DEVIATION_WEIGHT * (error - deviationNanos);
      smoothedNanos += TIME_WEIGHT * (nanos - smoothedNanos);
    } else {
      measured = true;
      smoothedNanos = (double) nanos;
      deviationNanos = nanos / 2.0;
    }
  }

  /**
   * Returns the time after which a second connection is dialled in parallel with the first, in
   * nanoseconds.
   */
  long secondDialDelayNanos() {
    if (!measured) {
      return INITIAL_DELAY_NANOS;
    }
    long estimate = (long) (smoothedNanos + DEVIATIONS * deviationNanos);
    return Math.max(MIN_DELAY_NANOS, Math.min(MAX_DELAY_NANOS, estimate));
  }
}
