package slateslip.dataplane.subscription;

/** Determines when the next ping is due. Times are of the steady clock. */
final class PingSchedule {
  /** Interval between two pings. Agents close a stream after three seconds without a message. */
  private static final long INTERVAL_MILLIS = 1_000;

  /**
   * Minimum number of lease renewals within the duration of a lease. A lease is also renewed at
   * least once per {@link #INTERVAL_MILLIS}.
   */
  private static final long RENEWALS_PER_LEASE = 8;

  private final long leaseMillis;
  private long lastPingMillis;

  /**
   * Creates a schedule.
   *
   * @param leaseMillis duration of a key lease in milliseconds; 0 if no lease is needed
   */
  PingSchedule(long leaseMillis) {
    this.leaseMillis = leaseMillis;
  }

  /**
   * Returns whether a ping is due, and records it as sent in that case.
   *
   * @param leaseNeeded whether keys are leased now, so that pings renew the lease
   */
  boolean takeIfDue(long nowMillis, boolean leaseNeeded) {
    boolean due = nowMillis - lastPingMillis >= intervalMillis(leaseNeeded);
    if (due) {
      lastPingMillis = nowMillis;
    }
    return due;
  }

  private long intervalMillis(boolean leaseNeeded) {
    return leaseNeeded
        ? Math.min(INTERVAL_MILLIS, leaseMillis / RENEWALS_PER_LEASE)
        : INTERVAL_MILLIS;
  }
}
