package slateslip.routing;

import slateslip.routing.policy.RoutingPolicy;
import slateslip.routing.quota.QuotaBounds;
import slateslip.routing.retry.RetryBounds;

/**
 * Settings of a router.
 *
 * @param zone zone of this data plane
 * @param seed seed of the random choices
 * @param retries bounds of the retry budgets
 * @param quotas bounds of the tenants' quotas
 * @param policy mechanisms that the router uses and the parameters of its decisions
 * @param keyLeaseRequired whether requests with keys are served only while the key lease is held
 * @param heartbeatMicros interval between two heartbeats of a backend
 */
public record RouterSettings(
    String zone,
    long seed,
    RetryBounds retries,
    QuotaBounds quotas,
    RoutingPolicy policy,
    boolean keyLeaseRequired,
    long heartbeatMicros) {
  /** Default interval between two heartbeats of a backend. */
  public static final long DEFAULT_HEARTBEAT_MICROS = 1_200_000;

  /** Creates settings with the default policy and heartbeat interval and without a key lease. */
  public RouterSettings(String zone, long seed, RetryBounds retries, QuotaBounds quotas) {
    this(zone, seed, retries, quotas, RoutingPolicy.DEFAULT, false, DEFAULT_HEARTBEAT_MICROS);
  }

  /** Returns these settings with another policy. */
  public RouterSettings withPolicy(RoutingPolicy other) {
    return new RouterSettings(
        zone, seed, retries, quotas, other, keyLeaseRequired, heartbeatMicros);
  }
}
