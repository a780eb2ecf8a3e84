package slateslip.distribution.quota;

/** Defines the times, in microseconds, that must be the same at allocators and data planes. */
public final class QuotaTiming {
  /**
   * How long an allocation is valid, counted from the time when the data plane sent the report to
   * which the allocation responds. The lease is longer than a change of the primary takes; during
   * such a change, data planes continue with what they have.
   */
  public static final long LEASE_MICROS = 15_000_000;

  /**
   * Units count longer than a window by this fraction of a window, because the clocks of machines
   * run at different rates.
   */
  private static final double CLOCK_DRIFT_MARGIN = 1.0 / 32;

  /**
   * How long a backend may still start requests that an ended data plane had sent to that backend.
   * Most backends notice the closed connection and do not start them.
   */
  private static final long ORPHANED_REQUEST_MICROS = 1_000_000;

  private QuotaTiming() {}

  /** Returns how long units count after their request began to run. */
  static long unitLifetimeMicros(long windowMicros) {
    return windowMicros + (long) (CLOCK_DRIFT_MARGIN * windowMicros);
  }

  /** Returns the time from which units that were taken at {@code takenMicros} no longer count. */
  public static long expiryMicros(long takenMicros, long windowMicros) {
    return takenMicros + unitLifetimeMicros(windowMicros);
  }

  /** Returns how long the spending of an ended process counts after the end of the process. */
  static long endedRetentionMicros(long windowMicros) {
    return unitLifetimeMicros(windowMicros) + ORPHANED_REQUEST_MICROS;
  }

  /**
   * Returns how long the holdings of an unresponsive data plane count: for its lease and for the
   * spending during that lease.
   */
  static long unresponsiveRetentionMicros(long windowMicros) {
    return LEASE_MICROS + 2 * unitLifetimeMicros(windowMicros);
  }
}
