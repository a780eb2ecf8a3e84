package slateslip.simulation.dataplane;

import java.util.List;
import slateslip.simulation.engine.EngineParameters;

/**
 * The input of a simulated run; equal plans give equal runs.
 *
 * @param seed seed of all random choices
 * @param durationMicros time during which clients send requests, in microseconds
 * @param zones number of zones; data planes and backends are assigned to zones in round-robin order
 * @param dataPlanes number of data planes that run from the start
 * @param requestsPerSecond rate of new requests of all clients together, without retries
 * @param classes classes of requests
 * @param backends groups of backends, one for each service
 * @param tenants tenants that send requests
 * @param network delays of the network
 * @param bounds limits of the rules that are checked
 * @param faults schedule of faults, in any order
 */
public record WorldPlan(
    long seed,
    long durationMicros,
    int zones,
    int dataPlanes,
    double requestsPerSecond,
    List<RequestClass> classes,
    List<BackendGroup> backends,
    List<TenantPlan> tenants,
    NetworkPlan network,
    Bounds bounds,
    List<Fault> faults) {

  /**
   * The backends of one service.
   *
   * @param service name of the service
   * @param count number of backends
   * @param engine parameters of the engines of a model service, or null for other services
   * @param slots number of requests that one backend without an engine executes concurrently
   * @param queue capacity of the queue of a backend without an engine, in requests
   */
  public record BackendGroup(
      String service, int count, EngineParameters engine, int slots, int queue) {}

  /**
   * A tenant and its load.
   *
   * @param share weight of the tenant among all requests, relative to the other tenants
   * @param tokensPerSecond quota of the tenant in tokens per second, and its burst in tokens; 0 for
   *     no limit
   */
  public record TenantPlan(double share, double tokensPerSecond) {}

  /** One-way delays in microseconds. */
  public record NetworkPlan(long inZone, long crossZone, long client) {}

  /**
   * The limits of the rules that are checked.
   *
   * @param drainTimeoutMicros time during which requests may still reach a backend after its
   *     draining was acknowledged
   * @param retryBudgetRatio permitted retries per request of a service
   * @param retryWindowMicros length of the sliding window of the retry budget
   * @param retryBudgetSlack number of retries permitted in addition to that ratio
   * @param quotaWindowMicros length of the sliding window of quotas
   * @param quotaOvershoot fraction by which a quota may be exceeded
   * @param quotaSlack number of tokens permitted in addition to that fraction
   */
  public record Bounds(
      long drainTimeoutMicros,
      double retryBudgetRatio,
      long retryWindowMicros,
      int retryBudgetSlack,
      long quotaWindowMicros,
      double quotaOvershoot,
      double quotaSlack) {
    /** The limits of the deployment pv-slateslip. */
    public static final Bounds STANDARD =
        new Bounds(2_000_000, 0.2, 10_000_000, 52, 8_000_000, 0.1, 190_000);
  }

  /** Returns a copy of this plan with other faults. */
  public WorldPlan withFaults(List<Fault> other) {
    return new WorldPlan(
        seed,
        durationMicros,
        zones,
        dataPlanes,
        requestsPerSecond,
        classes,
        backends,
        tenants,
        network,
        bounds,
        List.copyOf(other));
  }
}
