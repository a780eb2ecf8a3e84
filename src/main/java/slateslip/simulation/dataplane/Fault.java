package slateslip.simulation.dataplane;

/**
 * One fault of a schedule.
 *
 * @param kind kind of the fault
 * @param atMicros start of the fault, in microseconds of simulated time
 * @param forMicros duration in microseconds
 * @param target index of the affected backend, data plane, request class or tenant
 * @param strength a probability, share or factor, depending on the kind
 */
public record Fault(Kind kind, long atMicros, long forMicros, int target, double strength) {
  /** The kinds of faults. */
  public enum Kind {
    /** A backend crashes and resets its connections, and restarts as a new instance. */
    BACKEND_CRASH,
    /** A backend loses power without closing its connections, and restarts as a new instance. */
    BACKEND_DARK,
    /** A backend continues to execute requests, but sends nothing until the fault ends. */
    BACKEND_STALL,
    /** A backend drains, stops and restarts as a new instance. */
    BACKEND_RELEASE,
    /** A data plane crashes and resets its connections, and restarts without state. */
    DATA_PLANE_CRASH,
    /** A data plane loses power without closing its connections, and restarts without state. */
    DATA_PLANE_DARK,
    /** A data plane is paused and handles inputs that arrive meanwhile when the fault ends. */
    DATA_PLANE_FREEZE,
    /**
     * A share {@code strength} of requests have bodies that take long to send; some of these
     * connections end before the complete request is sent.
     */
    LONG_BODIES,
    /** Connections to backends are reset with probability {@code strength}. */
    RESETS,
    /** A share {@code strength} of the requests of a class use the same shared prompt part. */
    HOT_KEY,
    /** A tenant sends {@code strength} times its usual number of requests. */
    HOT_TENANT,
    /** All clients send {@code strength} times their usual number of requests. */
    BURST,
    /** Another data plane joins the fleet. */
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
