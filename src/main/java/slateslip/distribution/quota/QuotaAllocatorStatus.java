package slateslip.distribution.quota;

import java.util.List;

/**
 * Describes the state of a quota allocator for operators.
 *
 * @param epoch epoch of the allocator; 0 if this agent has no allocator
 * @param dataPlanes number of data planes that the allocator knows to hold a part of the quotas
 * @param complete whether the allocator knows everything that earlier allocators allocated
 * @param tenants state of the quota of each tenant
 */
public record QuotaAllocatorStatus(
    long epoch, int dataPlanes, boolean complete, List<TenantAllocation> tenants) {
  /** The status of an agent without an allocator. */
  public static final QuotaAllocatorStatus NONE = new QuotaAllocatorStatus(0, 0, false, List.of());

  /**
   * Describes one tenant's quota. All values are fractions of the units that the quota permits in a
   * window.
   *
   * @param tenant name of the tenant
   * @param spent spent by data planes that report
   * @param reserved reserved for data planes that report: what they have spent or may spend
   * @param unresponsive reserved for data planes that do not report
   * @param ended reserved for processes that have ended
   */
  public record TenantAllocation(
      String tenant, double spent, double reserved, double unresponsive, double ended) {}
}
