package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Random schedules of faults; {@code -Dagents.seeds=N} plays more, {@code agents.first} others. */
final class AgentScheduleTest {
  private static final long SEEDS = Long.getLong("agents.seeds", 1_000);
  private static final long FIRST = Long.getLong("agents.first", 1);
  private static final int MAX_REPORTED = 5;

  @Test
  void noScheduleBreaksARule() {
    AgentScheduleRunner runner = AgentScheduleRunner.ofAllKinds();
    List<String> failures = new ArrayList<>();
    long changes = 0;
    for (long seed = FIRST; seed < FIRST + SEEDS && failures.size() < MAX_REPORTED; seed++) {
      AgentScheduleRunner.Result result = runner.play(seed);
      changes += result.changes();
      if (result.violation().isPresent()) {
        failures.add(runner.report(seed, result));
      }
    }
    assertThat(failures, empty());
    assertThat(changes, greaterThan(SEEDS));
  }

  @Test
  void aSeedRepeatsWhatItDid() {
    AgentScheduleRunner runner = AgentScheduleRunner.ofAllKinds();
    assertThat(runner.play(FIRST), is(runner.play(FIRST)));
  }
}
