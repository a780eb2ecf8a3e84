package slateslip.configuration;

import java.util.List;

/**
 * A tenant of the operator's configuration: a group of API keys that share a quota.
 *
 * @param name unique name of the tenant
 * @param keys API keys; each key belongs to one tenant only
 * @param priority priority class that replaces the priority of the route; -1 if not given
 * @param countsTokens whether the quota is counted in tokens; if not, in requests
 * @param uncachedTokens number of tokens charged for a request that does not report its token usage
 * @param ratePerSecond quota in units per second; 0 for no limit
 * @param burst units that may be used in addition to the rate
 */
public record Tenant(
    String name,
    List<String> keys,
    int priority,
    boolean countsTokens,
    long uncachedTokens,
    double ratePerSecond,
    double burst) {}
