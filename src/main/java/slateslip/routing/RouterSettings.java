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
 * @param heartbeatMicros between two heartbeats of a backend
 */
public record RouterSettings(
    String zone,
    long seed,
    RetryBounds retries,
    QuotaBounds quotas,
    RoutingPolicy policy,
    boolean leasedKeys,
    long heartbeatMicros) {
  /** Between two heartbeats of a backend where nothing else is told. */
  public static final long DEFAULT_HEARTBEAT_MICROS = 1_200_000;

  /** With all mechanisms, and without a lease on keys. */
  public RouterSettings(String zone, long seed, RetryBounds retries, QuotaBounds quotas) {
    this(zone, seed, retries, quotas, RoutingPolicy.DEFAULT, false, DEFAULT_HEARTBEAT_MICROS);
  }

  /** The same with another policy. */
  public RouterSettings withPolicy(RoutingPolicy other) {
    return new RouterSettings(zone, seed, retries, quotas, other, leasedKeys, heartbeatMicros);
  }
}
