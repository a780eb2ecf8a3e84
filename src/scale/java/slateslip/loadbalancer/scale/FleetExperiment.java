package slateslip.loadbalancer.scale;

import java.io.IOException;
import java.util.List;

/** An experiment on a fleet of hollow agents beside real ones, judged by counts and order. */
final class FleetExperiment implements Experiment {
  /**
   * Starts, waits for agents to come to the same list, and ends: beside the seconds of the plan.
   */
  private static final int SPARE_SECONDS = 300;

  private final FleetPlan plan;

  FleetExperiment(Keys keys) {
    plan = FleetPlan.of(keys);
  }

  @Override
  public int limitSeconds() {
    return plan.beforeSeconds()
        + 2 * plan.events().size() * plan.eventSeconds()
        + plan.afterSeconds()
        + SPARE_SECONDS;
  }

  @Override
  public void play(Report report, Children children) throws IOException {
    List<String> wrong = FleetRun.play(plan, report, children).outcome().complaints();
    if (!wrong.isEmpty()) {
      throw new IOException(plan.name() + ": " + String.join("; ", wrong));
    }
  }
}
