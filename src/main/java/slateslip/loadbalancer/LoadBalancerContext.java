package slateslip.loadbalancer;

import java.util.List;
import java.util.SplittableRandom;
import slateslip.loadbalancer.LoadBalancer.Actions;
import slateslip.loadbalancer.LoadBalancer.Settings;

/** State that the parts of one agent's load balancer share. */
final class LoadBalancerContext {
  /** The settings in force. */
  Settings settings;

  final Actions actions;

  /** Random source shared by all parts, so that equal events and seeds lead to equal actions. */
  final SplittableRandom random;

  final EndpointTable servers;

  /** The list of {@link EndpointTable#listed}, in the order of this agent. */
  final List<Endpoint> listed;

  LoadBalancerContext(Settings settings, long seed, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.servers = new EndpointTable(EndpointHealthChecker.PARAMETERS, actions);
    this.listed = servers.listed();
  }
}
