package slateslip.distribution;

import java.util.List;

/**
 * A data plane's report to the quota allocator.
 *
 * @param epoch epoch of the newest allocator that the data plane follows; 0 if none, {@link
 *     #COUNTS_ONLY} if the version of the data plane does not support epochs
 * @param appliedNumber number of that allocator's newest allocation in force
 * @param sentMicros time on the data plane's steady clock when the report was sent, in microseconds
 * @param ageMicros how long the data plane's process has run, in microseconds
 * @param holders number of data planes that may hold a part of the quotas, as that allocator
 *     reported; 0 if not known
 * @param waiting whether requests wait for an allocation
 * @param tenants demand of all tenants whose quota is limited or was limited recently
 */
public record QuotaReport(
    long epoch,
    long appliedNumber,
    long sentMicros,
    long ageMicros,
    int holders,
    boolean waiting,
    List<TenantDemand> tenants) {
  /** The epoch in reports of data planes of earlier versions. */
  public static final long COUNTS_ONLY = Long.MIN_VALUE;

  /** A report without tenants, from a data plane that follows no allocator yet. */
  public static final QuotaReport EMPTY = new QuotaReport(0, 0, 0, 0, 0, false, List.of());

  /** Creates a report as data planes of earlier versions send it. */
  public static QuotaReport countsOnly(List<TenantDemand> tenants) {
    return new QuotaReport(COUNTS_ONLY, 0, 0, 0, 0, false, tenants);
  }

  /** Returns whether the report contains only counts. */
  public boolean isCountsOnly() {
    return epoch == COUNTS_ONLY;
  }
}
