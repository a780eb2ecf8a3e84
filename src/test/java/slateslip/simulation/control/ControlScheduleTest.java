package slateslip.simulation.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Random schedules of faults; {@code -Dcontrol.seeds=N} plays more, {@code control.first} others.
 */
final class ControlScheduleTest {
  private static final long SEEDS = Long.getLong("control.seeds", 2_000);
  private static final long FIRST = Long.getLong("control.first", 1);

  @Test
  void noScheduleBreaksARule() {
    ScheduleRunner runner = new ScheduleRunner(Mutation.NONE);
    List<String> failures = new ArrayList<>();
    long changes = 0;
    for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
      ScheduleRunner.Result result = runner.play(seed);
      changes += result.changes();
      if (result.violation().isPresent()) {
        failures.add(runner.report(seed, result));
      }
    }
    assertThat(failures, empty());
    assertThat(changes, greaterThan(SEEDS));
  }
}
