package slateslip.experiment;

import java.util.List;
import slateslip.experiment.policy.PlacementPolicy;
import slateslip.routing.policy.RoutingPolicy;
import slateslip.simulation.dataplane.WorldPlan;

/**
 * Describes one experiment: every variant is simulated with every plan.
 *
 * @param name name of the experiment in the JSON lines and the plot
 * @param plans simulation plans, one for each seed
 * @param variants router variants, each of which is simulated with every plan
 */
public record Experiment(String name, List<WorldPlan> plans, List<Variant> variants) {
  /**
   * Describes a router and its parameters.
   *
   * @param name name of the variant in the table, the JSON lines and the plot
   * @param policy placement policy of a {@link slateslip.experiment.policy.PolicyRouter}, or null
   *     if the variant uses the fleet's router
   * @param mechanisms enabled mechanisms and parameters of the fleet's router; ignored if a
   *     placement policy is given
   */
  public record Variant(String name, PlacementPolicy policy, RoutingPolicy mechanisms) {}
}
