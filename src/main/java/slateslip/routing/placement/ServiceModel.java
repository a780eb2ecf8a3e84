package slateslip.routing.placement;

import slateslip.routing.health.ServiceDelay;
import slateslip.routing.policy.RoutingPolicy;

/**
 * Estimates that are learned from all backends of a service together, because a data plane sends
 * too few requests to a single backend to learn from them.
 *
 * @param prefill estimate of the time that engines of the service need to prefill prompts
 * @param delay average delay of responses beyond their expected time
 */
public record ServiceModel(PrefillEstimator prefill, ServiceDelay delay) {
  /** Returns the model of a service before any measurement. */
  public static ServiceModel initial(RoutingPolicy policy) {
    return new ServiceModel(new PrefillEstimator(policy), new ServiceDelay(policy));
  }
}
