package slateslip.routing.placement;

import slateslip.routing.health.ServiceDelay;
import slateslip.routing.policy.RoutingPolicy;

/**
 * What is learnt of all backends of a service together: each alone is met too seldom to learn from.
 *
 * @param prefill how fast its engines read prompts
 * @param delay how much later than expected they answer
 */
public record ServiceModel(PrefillEstimator prefill, ServiceDelay delay) {
  /** Of a service of which nothing was measured. */
  public static ServiceModel initial(RoutingPolicy policy) {
    return new ServiceModel(new PrefillEstimator(policy), new ServiceDelay(policy));
  }
}
