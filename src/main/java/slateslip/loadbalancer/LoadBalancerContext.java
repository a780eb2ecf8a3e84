package slateslip.loadbalancer;

import java.util.List;
import java.util.SplittableRandom;
import slateslip.loadbalancer.LoadBalancer.Actions;
import slateslip.loadbalancer.LoadBalancer.Settings;

/** What the parts of one agent's balancer share. */
final class LoadBalancerContext {
  /** In force now. */
  Settings settings;

  final Actions actions;

  /** One source of chance for all, so that the same events give the same actions. */
  final SplittableRandom random;

  final EndpointTable servers;

  /** {@link EndpointTable#listed}. */
  final List<Endpoint> listed;

  LoadBalancerContext(Settings settings, long seed, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.servers = new EndpointTable(EndpointHealthChecker.PARAMETERS, actions);
    this.listed = servers.listed();
  }
}
