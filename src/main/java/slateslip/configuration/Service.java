package slateslip.configuration;

/**
 * A service of the operator's configuration.
 *
 * @param name unique name
 * @param healthPath path that answers health probes
 * @param maxConnections connections that one backend takes from all callers together; 0 if not
 *     given
 * @param engine what is known of its model engine; null if it is no model service
 */
public record Service(String name, String healthPath, int maxConnections, Engine engine) {
  /**
   * A model engine.
   *
   * @param slots requests that run at once
   * @param cacheTokens tokens that running requests and cached parts share
   * @param tokensPerEvent tokens in one event of a stream
   */
  public record Engine(int slots, long cacheTokens, int tokensPerEvent) {}
}
