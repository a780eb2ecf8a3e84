package slateslip.distribution;

import java.util.List;

/**
 * One data plane's share of what is limited over the whole fleet.
 *
 * @param dataPlanes data planes that share the limits, this one included; at least 1
 * @param tenants share of each tenant's quota that is not the equal share
 */
public record QuotaAllocation(int dataPlanes, List<TenantShare> tenants) {
  /**
   * A share of a tenant's quota.
   *
   * @param tenant its name
   * @param fraction of the tenant's rate and burst, 0 to 1; over all agents they sum to 1 at most
   */
  public record TenantShare(String tenant, double fraction) {}
}
