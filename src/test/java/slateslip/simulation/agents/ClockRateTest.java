package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that safety does not depend on timeouts: random schedules of faults run while every steady
 * clock has its own rate, up to ten times too fast or too slow.
 */
final class ClockRateTest {
  private static final long SEEDS = 60;
  private static final double SPREAD = 10;

  @Test
  void inaccurateClocksViolateNoSafetyInvariant() {
    AgentScheduleRunner runner = AgentScheduleRunner.withAllFaultKinds();
    List<String> failures = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      AgentWorld.Shape usual = AgentScheduleRunner.shape(seed);
      AgentWorld.Shape shape =
          new AgentWorld.Shape(usual.agents(), usual.seeds(), usual.tolerance(), 2, 2, SPREAD);
      String violation = runner.runForSafety(seed, shape, runner.faults(seed)).orElse("");
      if (!violation.isEmpty()) {
        failures.add("seed " + seed + ": " + violation);
      }
    }
    assertThat(failures, empty());
  }
}
