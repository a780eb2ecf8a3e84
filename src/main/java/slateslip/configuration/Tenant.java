package slateslip.configuration;

import java.util.List;

/**
 * A tenant of the operator's configuration.
 *
 * @param name unique name
 * @param keys API keys, each of one tenant only
 * @param priority rank in place of the route's; -1 if not given
 * @param countsTokens whether quota is counted in tokens, else in requests
 * @param uncachedTokens what a request without token usage counts as
 * @param ratePerSecond units a second; 0 for no limit
 * @param burst units above that
 */
public record Tenant(
    String name,
    List<String> keys,
    int priority,
    boolean countsTokens,
    long uncachedTokens,
    double ratePerSecond,
    double burst) {}
