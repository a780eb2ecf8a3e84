package slateslip.configuration;

/**
 * A service of the operator's configuration: a group of interchangeable backends.
 *
 * @param name unique name of the service
 * @param healthPath request path of health probes
 * @param maxConnections maximum number of connections that one backend accepts from all callers
 *     together; 0 if not given
 * @param engine properties of the model engine of each backend; null if the service does not run a
 *     model
 */
public record Service(String name, String healthPath, int maxConnections, Engine engine) {
  /**
   * Properties of a model engine.
   *
   * @param slots number of requests that run at the same time
   * @param cacheTokens capacity of the key-value cache in tokens, shared by running requests and
   *     cached prompt parts
   * @param tokensPerEvent number of tokens in one event of a stream
   */
  public record Engine(int slots, long cacheTokens, int tokensPerEvent) {}
}
