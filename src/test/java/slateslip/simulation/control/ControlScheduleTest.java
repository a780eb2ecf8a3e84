package slateslip.simulation.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs random schedules of faults. The system property {@code control.seeds} sets the number of
 * schedules, {@code control.first} the first seed.
 */
final class ControlScheduleTest {
  private static final long SEEDS = Long.getLong("control.seeds", 2_000);
  private static final long FIRST_SEED = Long.getLong("control.first", 1);

  @Test
  void randomFaultSchedulesViolateNoInvariant() {
    ScheduleRunner runner = new ScheduleRunner(Mutation.NONE);
    List<String> failures = new ArrayList<>();
    long changes = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      ScheduleRunner.Result result = runner.run(seed);
      changes += result.changes();
      if (result.violation().isPresent()) {
        failures.add(runner.report(seed, result));
      }
    }
    assertThat(failures, empty());
    assertThat(changes, greaterThan(SEEDS));
  }
}
