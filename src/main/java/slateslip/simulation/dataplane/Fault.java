package slateslip.simulation.dataplane;

/**
 * One trouble of a schedule.
 *
 * @param kind what happens
 * @param atMicros when it begins
 * @param forMicros how long it lasts
 * @param target index of the backend, data plane, class or tenant that it strikes
 * @param strength a probability, share or factor, by kind
 */
public record Fault(Kind kind, long atMicros, long forMicros, int target, double strength) {
  /** What can happen. */
  public enum Kind {
    /** A backend dies and resets its connections; it comes back as a new instance. */
    BACKEND_CRASH,
    /** A backend loses power: nothing comes from it any more; it comes back as a new instance. */
    BACKEND_DARK,
    /** A backend works on, but nothing comes from it until the fault ends. */
    BACKEND_STALL,
    /** A backend drains, ends and comes back as a new instance. */
    BACKEND_RELEASE,
    /** A data plane dies and resets its connections; it comes back empty. */
    DATA_PLANE_CRASH,
    /** A data plane loses power and comes back empty. */
    DATA_PLANE_DARK,
    /** A data plane stands still; what arrives meanwhile is handled afterwards. */
    DATA_PLANE_FREEZE,
    /**
     * A share {@code strength} of requests have bodies that take long to send; some of their
     * connections end between two bytes.
     */
    LONG_BODIES,
    /** Connections to backends are reset with probability {@code strength}. */
    RESETS,
    /** A share {@code strength} of a class asks for the same shared part. */
    HOT_KEY,
    /** A tenant sends {@code strength} times its usual. */
    HOT_TENANT,
    /** All clients send {@code strength} times their usual. */
    BURST,
    /** Another data plane joins. */
    DATA_PLANE_JOIN
  }

  @Override
  public String toString() {
    return String.format(
        java.util.Locale.ROOT,
        "%s at %.3f s for %.3f s, target %d, strength %.2f",
        kind,
        atMicros / 1e6,
        forMicros / 1e6,
        target,
        strength);
  }
}
