package slateslip.routing;

import slateslip.routing.quota.QuotaBounds;
import slateslip.routing.retry.RetryBounds;

/**
 * What a router is told when it is made.
 *
 * @param zone of this data plane
 * @param seed of its random choices
 * @param retries bounds of repeated arrivals
 * @param quotas bounds of quotas
 */
public record RouterSettings(String zone, long seed, RetryBounds retries, QuotaBounds quotas) {}
