package slateslip.routing;

/**
 * Limits how long requests with API keys may be sent to backends. If the setting {@code closed} is
 * true, a revoked key must not be accepted beyond a fixed time, even by a data plane that receives
 * no updates because of a partition. Each data plane therefore accepts keys only for a limited time
 * after it last confirmed that its configuration is the newest. Times are in microseconds of the
 * steady clock.
 */
public final class KeyLease {
  private final boolean required;
  private long untilMicros = Long.MIN_VALUE;

  private KeyLease(boolean required) {
    this.required = required;
  }

  /** Returns a lease that never expires, for a fleet that is not closed. */
  public static KeyLease notRequired() {
    return new KeyLease(false);
  }

  /** Returns a lease that is not held until {@link #extendTo} is called. */
  public static KeyLease required() {
    return new KeyLease(true);
  }

  /** Extends the lease to this time; an earlier time does not shorten the lease. */
  public void extendTo(long micros) {
    untilMicros = Math.max(untilMicros, micros);
  }

  /** Returns whether requests with keys may be sent now. */
  public boolean isHeld(long nowMicros) {
    return !required || nowMicros < untilMicros;
  }
}
