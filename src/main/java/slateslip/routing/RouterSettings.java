package slateslip.routing;

import slateslip.routing.policy.RoutingPolicy;
import slateslip.routing.quota.QuotaBounds;
import slateslip.routing.retry.RetryBounds;

/**
 * What a router is told when it is made.
 *
 * @param zone of this data plane
 * @param seed of its random choices
 * @param retries bounds of repeated arrivals
 * @param quotas bounds of quotas
 * @param policy mechanisms that it uses
 * @param leasedKeys whether requests with keys are served only by a lease
 */
public record RouterSettings(
    String zone,
    long seed,
    RetryBounds retries,
    QuotaBounds quotas,
    RoutingPolicy policy,
    boolean leasedKeys) {
  /** With all mechanisms, and without a lease on keys. */
  public RouterSettings(String zone, long seed, RetryBounds retries, QuotaBounds quotas) {
    this(zone, seed, retries, quotas, RoutingPolicy.DEFAULT, false);
  }

  /** The same with another policy. */
  public RouterSettings withPolicy(RoutingPolicy other) {
    return new RouterSettings(zone, seed, retries, quotas, other, leasedKeys);
  }
}
