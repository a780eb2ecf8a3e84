package slateslip.routing.quota;

/**
 * Units that one attempt of a request has taken from its tenant's quota. The units count as spent
 * from the time at which they are taken until one window after a backend began to run the attempt,
 * however long the attempt is pending before that.
 */
public final class QuotaCharge {
  /** The charge of requests without a tenant, which has no effect. */
  static final QuotaCharge UNCOUNTED = new QuotaCharge(null, 0);

  private final QuotaWindow window;
  private final long units;
  private boolean settled;

  QuotaCharge(QuotaWindow window, long units) {
    this.window = window;
    this.units = units;
  }

  long units() {
    return units;
  }

  /**
   * Marks the units as spent at this time because a backend has run the attempt or may have run it.
   * Has no effect after an earlier call of this method or of {@link #release}.
   */
  public void commit(long nowMicros) {
    if (window != null && !settled) {
      settled = true;
      window.commit(units, nowMicros);
    }
  }

  /**
   * Releases the units to the quota because no backend has run the attempt and none will. Has no
   * effect after an earlier call of this method or of {@link #commit}.
   */
  public void release() {
    if (window != null && !settled) {
      settled = true;
      window.release(units);
    }
  }
}
