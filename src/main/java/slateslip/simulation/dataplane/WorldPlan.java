package slateslip.simulation.dataplane;

import java.util.List;
import slateslip.simulation.engine.EngineParameters;

/**
 * Everything that a run of the world follows from.
 *
 * @param seed of all random choices
 * @param durationMicros how long clients send
 * @param zones number of zones; data planes and backends are spread over them in turn
 * @param dataPlanes that run from the start
 * @param requestsPerSecond first attempts of all clients together
 * @param classes of requests
 * @param backends groups of backends, one for each service
 * @param tenants who sends
 * @param network delays
 * @param bounds of the rules that are checked
 * @param faults troubles, in any order
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
   * Backends of one service.
   *
   * @param service its name
   * @param count how many
   * @param engine of a model service; null for others
   * @param slots requests that one backend that is no engine works on at once
   * @param queue requests that wait there at most
   */
  public record BackendGroup(
      String service, int count, EngineParameters engine, int slots, int queue) {}

  /**
   * A tenant.
   *
   * @param share of all requests, relative to the other tenants
   * @param tokensPerSecond its quota, also its burst; 0 for no limit
   */
  public record TenantPlan(double share, double tokensPerSecond) {}

  /** One-way delays in microseconds. */
  public record NetworkPlan(long inZone, long crossZone, long client) {}

  /**
   * Bounds of the rules.
   *
   * @param drainTimeoutMicros how long requests may reach a backend after its draining is
   *     acknowledged
   * @param retryBudgetRatio repeats for each request of a service
   * @param retryWindowMicros sliding window of the retry budget
   * @param retryBudgetSlack repeats beyond that ratio
   * @param quotaWindowMicros sliding window of quotas
   * @param quotaOvershoot fraction by which a quota may be exceeded
   * @param quotaSlack tokens beyond that
   */
  public record Bounds(
      long drainTimeoutMicros,
      double retryBudgetRatio,
      long retryWindowMicros,
      int retryBudgetSlack,
      long quotaWindowMicros,
      double quotaOvershoot,
      double quotaSlack) {
    /** Figures of the deployment pv-slateslip. */
    public static final Bounds STANDARD =
        new Bounds(2_000_000, 0.2, 10_000_000, 52, 8_000_000, 0.1, 190_000);
  }

  /** The same plan with other faults. */
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
