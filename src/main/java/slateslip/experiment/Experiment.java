package slateslip.experiment;

import java.util.List;
import slateslip.experiment.policy.PlacementPolicy;
import slateslip.routing.policy.RoutingPolicy;
import slateslip.simulation.dataplane.WorldPlan;

/**
 * What is played.
 *
 * @param name for the outputs
 * @param plans one for each seed
 * @param variants routers that play every plan
 */
public record Experiment(String name, List<WorldPlan> plans, List<Variant> variants) {
  /**
   * A router with its parameters.
   *
   * @param name for the outputs
   * @param policy of a router that only places requests; null for the fleet's own router
   * @param mechanisms that the fleet's own router uses
   */
  public record Variant(String name, PlacementPolicy policy, RoutingPolicy mechanisms) {}
}
