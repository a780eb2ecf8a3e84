package slateslip.dataplane.backend;

import java.util.concurrent.TimeUnit;

/**
 * Estimates after which time a connection that is not up yet is late, as TCP estimates its
 * retransmission time-out (RFC 6298): the smoothed time and four times its mean deviation. Confined
 * to the event loop.
 */
final class ConnectTimeEstimator {
  private static final double TIME_WEIGHT = 1.0 / 8;
  private static final double DEVIATION_WEIGHT = 1.0 / 4;
  private static final double DEVIATIONS = 4;

  /** A process that was held up for a moment finds all its connections late by that. */
  private static final long MIN_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

  private static final long MAX_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Before anything was measured. */
  private static final long INITIAL_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  private double smoothedNanos;
  private double deviationNanos;
  private boolean measured;

  /** A connection has come up after this time. */
  void connected(long nanos) {
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

  /** After this time a second connection is dialled beside the first. */
  long lateNanos() {
    if (!measured) {
      return INITIAL_LATE_NANOS;
    }
    long estimate = (long) (smoothedNanos + DEVIATIONS * deviationNanos);
    return Math.max(MIN_LATE_NANOS, Math.min(MAX_LATE_NANOS, estimate));
  }
}
