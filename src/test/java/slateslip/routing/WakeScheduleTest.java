package slateslip.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Checks of backends are rounded up to a common grid, while deadlines of requests are exact. */
class WakeScheduleTest {
  private static final long GRID = WakeSchedule.CHECK_GRID_MICROS;

  private final WakeSchedule schedule = new WakeSchedule();

  @Test
  void checksAreRoundedUpToTheGrid() {
    schedule.checked(0);
    schedule.checkAt(GRID + 1);
    schedule.checkAt(2 * GRID - 1);
    assertThat(schedule.needsWake(1, Long.MAX_VALUE), is(true));
    assertThat(schedule.nextWakeMicros(), is(2 * GRID));
    assertThat(schedule.checkDue(2 * GRID - 1), is(false));
    assertThat(schedule.checkDue(2 * GRID), is(true));
  }

  @Test
  void overdueCheckIsScheduledForTheNextGridTime() {
    schedule.checked(3 * GRID);
    schedule.checkAt(GRID);
    assertThat(schedule.checkDue(3 * GRID), is(false));
    assertThat(schedule.checkDue(4 * GRID), is(true));
  }

  @Test
  void requestDeadlineIsNotRounded() {
    schedule.checked(0);
    schedule.checkAt(5 * GRID);
    assertThat(schedule.needsWake(1, GRID + 7), is(true));
    assertThat(schedule.nextWakeMicros(), is(GRID + 7));
  }

  @Test
  void noWakeUpIsNeededIfNothingIsDue() {
    schedule.checked(0);
    schedule.checkAt(Long.MAX_VALUE);
    assertThat(schedule.needsWake(1, Long.MAX_VALUE), is(false));
  }
}
