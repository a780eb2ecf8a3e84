package slateslip.simulation.quota;

/**
 * One fault of a schedule.
 *
 * @param kind kind of the fault
 * @param atMicros start of the fault, in microseconds of simulated time
 * @param forMicros duration in microseconds
 * @param share share of the affected data planes, or of the requests for {@link
 *     Kind#FURTHER_ATTEMPTS}
 */
record QuotaFault(Kind kind, long atMicros, long forMicros, double share) {
  /** The kinds of faults. */
  enum Kind {
    /** The primary stops; a new primary starts after the duration. */
    PRIMARY_CHANGE,
    /** A new primary starts immediately; the previous primary continues for the duration. */
    PRIMARY_OVERLAP,
    /** Messages between the affected data planes and the primary are lost in both directions. */
    CONTROL_PARTITION,
    /** Messages between data planes and the primary are delayed by up to the duration. */
    CONTROL_SLOW,
    /** Data planes stop and restart immediately. */
    RESTART,
    /**
     * All data planes and the primary stop; the data planes restart immediately, and a new primary
     * starts after the duration, at most two seconds.
     */
    RESTART_OF_EVERYTHING,
    /** Data planes are paused and handle inputs that arrive meanwhile when the fault ends. */
    FREEZE,
    /** The tenant is removed from the configuration and added again after the duration. */
    TENANT_REMOVED,
    /** The tenant has no limit during the fault. */
    LIMIT_LIFTED,
    /** Backends execute no requests; they start all received requests when the fault ends. */
    BACKLOG,
    /** A share of the executed requests is also sent to a second backend. */
    FURTHER_ATTEMPTS,
    /** The distribution of the tenant's requests among the data planes changes. */
    DEMAND_SHIFT
  }

  @Override
  public String toString() {
    return String.format(
        java.util.Locale.ROOT,
        "%s at %.3f s for %.3f s, share %.2f",
        kind,
        atMicros / 1e6,
        forMicros / 1e6,
        share);
  }
}
