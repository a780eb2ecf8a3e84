package slateslip.loadbalancer;

import java.util.List;
import java.util.SplittableRandom;
import slateslip.loadbalancer.Balancer.Actions;
import slateslip.loadbalancer.Balancer.Settings;

/** What the parts of one agent's balancer share. */
final class AgentState {
  /** In force now. */
  Settings settings;

  final Actions actions;

  /** One source of chance for all, so that the same events give the same actions. */
  final SplittableRandom random;

  final ServerTable servers;

  /** {@link ServerTable#listed}. */
  final List<Target> listed;

  AgentState(Settings settings, long seed, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.servers = new ServerTable(ServerHealth.PARAMETERS, actions);
    this.listed = servers.listed();
  }
}
