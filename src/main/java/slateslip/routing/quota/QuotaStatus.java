package slateslip.routing.quota;

import java.util.List;

/**
 * State of the quotas at one data plane, for operators.
 *
 * @param dataPlanes number of data planes that share the limits of the fleet, as last reported to
 *     this one
 * @param allocatorEpoch epoch of the allocator that this data plane accepts; 0 if none
 * @param tenants state of each tenant in the current configuration
 */
public record QuotaStatus(int dataPlanes, long allocatorEpoch, List<TenantQuotaStatus> tenants) {
  /** The state before the router has handled its first input. */
  public static final QuotaStatus NONE = new QuotaStatus(0, 0, List.of());
}
