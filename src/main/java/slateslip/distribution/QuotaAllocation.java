package slateslip.distribution;

import java.util.List;

/**
 * One data plane's part of the limits that apply to the whole fleet.
 *
 * @param dataPlanes number of data planes that share the limits, including the receiver; at least 1
 * @param lease lease under which the allocation is valid; null from control agents of earlier
 *     versions
 * @param tenants part of each tenant's quota; without a lease, only the tenants whose part differs
 *     from the equal part
 */
public record QuotaAllocation(int dataPlanes, Lease lease, List<TenantShare> tenants) {
  /**
   * Names the allocator that made an allocation and limits how long the allocation is valid. The
   * lease ends a fixed time after the data plane sent the report to which the allocation responds.
   *
   * @param epoch epoch of the allocator; a data plane follows only the allocator with the highest
   *     epoch
   * @param number number of the allocation, which rises with each allocation to this data plane; 0
   *     for a claim, which allocates nothing and only makes the data plane follow this allocator
   *     from now on
   * @param incarnation incarnation of the data plane that receives the allocation
   * @param reportSentMicros {@code sentMicros} of the newest report to which the allocation
   *     responds
   * @param holders number of data planes that may hold a part of the quotas; 0 if the allocator
   *     does not know the number
   */
  public record Lease(
      long epoch, long number, long incarnation, long reportSentMicros, int holders) {
    /** Returns whether this lease belongs to a claim, which allocates nothing. */
    public boolean isClaim() {
      return number == 0;
    }
  }

  /**
   * A part of one tenant's quota.
   *
   * @param tenant name of the tenant
   * @param fraction fraction, 0 to 1, of the units that the quota permits in a window; the
   *     fractions of all data planes sum to 1 at most
   * @param exhausted whether the fleet cannot give more than this fraction at present
   */
  public record TenantShare(String tenant, double fraction, boolean exhausted) {
    /** Creates a part of a quota that is not exhausted. */
    public TenantShare(String tenant, double fraction) {
      this(tenant, fraction, false);
    }
  }

  /** Creates an allocation without a lease, as control agents of earlier versions send it. */
  public QuotaAllocation(int dataPlanes, List<TenantShare> tenants) {
    this(dataPlanes, null, tenants);
  }
}
