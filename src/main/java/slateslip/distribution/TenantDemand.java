package slateslip.distribution;

/**
 * Describes the quota demand of one tenant at one data plane. Fractions refer to the units that the
 * quota permits in a window, and may exceed 1 after a limit was lowered.
 *
 * @param tenant name of the tenant
 * @param wantedUnits tokens (or requests) requested since the data plane started, admitted or not
 * @param admittedUnits tokens (or requests) admitted since the data plane started
 * @param allowed fraction that the data plane may use now
 * @param spending spending that counts in the data plane's present window
 * @param needed fraction that the data plane would use now: its spending, and what waits or was
 *     refused
 * @param desired fraction that the data plane is likely to use soon; at least {@code needed}
 */
public record TenantDemand(
    String tenant,
    long wantedUnits,
    long admittedUnits,
    double allowed,
    Spending spending,
    double needed,
    double desired) {

  /** Creates a demand that contains only counts, as data planes of earlier versions report it. */
  public TenantDemand(String tenant, long wantedUnits, long admittedUnits) {
    this(tenant, wantedUnits, admittedUnits, 0, Spending.NONE, 0, 0);
  }

  /** Returns the fraction that counts in the data plane's present window. */
  public double spent() {
    return spending.now();
  }
}
