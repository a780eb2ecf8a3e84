package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs random schedules of faults. The system property {@code agents.seeds} sets the number of
 * schedules, {@code agents.first} the first seed.
 */
final class AgentScheduleTest {
  private static final long SEEDS = Long.getLong("agents.seeds", 1_000);
  private static final long FIRST = Long.getLong("agents.first", 1);
  private static final int MAX_REPORTED = 5;

  @Test
  void randomFaultSchedulesViolateNoInvariant() {
    AgentScheduleRunner runner = AgentScheduleRunner.withAllFaultKinds();
    List<String> failures = new ArrayList<>();
    long changes = 0;
    for (long seed = FIRST; seed < FIRST + SEEDS && failures.size() < MAX_REPORTED; seed++) {
      AgentScheduleRunner.Result result = runner.run(seed);
      changes += result.changes();
      if (result.violation().isPresent()) {
        failures.add(runner.report(seed, result));
      }
    }
    assertThat(failures, empty());
    assertThat(changes, greaterThan(SEEDS));
  }

  @Test
  void sameSeedProducesSameResult() {
    AgentScheduleRunner runner = AgentScheduleRunner.withAllFaultKinds();
    assertThat(runner.run(FIRST), is(runner.run(FIRST)));
  }
}
