package slateslip.routing;

/**
 * Until when requests with keys may be sent to backends. Where the operator's bounds say that a
 * fleet is closed, a key that was taken away must not be served beyond a fixed time, also by a data
 * plane that no news reaches. So each data plane serves keys only for a time after it knew the
 * newest configuration for sure. Times are in microseconds of the steady clock.
 */
public final class KeyLease {
  private final boolean required;
  private long untilMicros = Long.MIN_VALUE;

  private KeyLease(boolean required) {
    this.required = required;
  }

  /** A lease that holds for ever: the fleet is not closed. */
  public static KeyLease notRequired() {
    return new KeyLease(false);
  }

  /** A lease that does not hold before it is extended. */
  public static KeyLease required() {
    return new KeyLease(true);
  }

  /** The lease holds until this time, if it does not hold for longer. */
  public void extendTo(long micros) {
    untilMicros = Math.max(untilMicros, micros);
  }

  /** Whether requests with keys may be sent now. */
  public boolean isHeld(long nowMicros) {
    return !required || nowMicros < untilMicros;
  }
}
