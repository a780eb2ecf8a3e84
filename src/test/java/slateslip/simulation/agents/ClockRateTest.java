package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * No bound of time matters for safety: the same schedules with every steady clock running at a rate
 * of its own, up to ten times too fast or too slow.
 */
final class ClockRateTest {
  private static final long SEEDS = 60;
  private static final double SPREAD = 10;

  @Test
  void wrongClocksLoseAndForkNothing() {
    AgentScheduleRunner runner = AgentScheduleRunner.ofAllKinds();
    List<String> failures = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      AgentWorld.Shape usual = AgentScheduleRunner.shape(seed);
      AgentWorld.Shape shape =
          new AgentWorld.Shape(usual.agents(), usual.seeds(), usual.tolerance(), 2, 2, SPREAD);
      String violation = runner.playForSafety(seed, shape, runner.faults(seed)).orElse("");
      if (!violation.isEmpty()) {
        failures.add("seed " + seed + ": " + violation);
      }
    }
    assertThat(failures, empty());
  }
}
