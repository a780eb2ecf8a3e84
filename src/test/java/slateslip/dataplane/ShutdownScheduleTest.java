package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import slateslip.dataplane.ShutdownSchedule.Step;

/** Tests the times of the steps of a graceful shutdown. */
class ShutdownScheduleTest {
  private final ShutdownSchedule eightSeconds = new ShutdownSchedule(8_000);

  @Test
  void requestsAreServedUntilThePlatformStopsRouting() {
    assertThat(eightSeconds.stepAt(0, 0), is(Step.SERVE));
    assertThat(eightSeconds.stepAt(2_499, 0), is(Step.SERVE));
    assertThat(eightSeconds.stepAt(2_500, 1), is(Step.CLOSE));
    assertThat(eightSeconds.stepAt(2_500, 0), is(Step.END));
  }

  @Test
  void responsesAreAbortedInTheLastTenthAndProcessEndsInItsLastQuarter() {
    assertThat(eightSeconds.stepAt(7_199, 3), is(Step.CLOSE));
    assertThat(eightSeconds.stepAt(7_200, 3), is(Step.ABORT));
    assertThat(eightSeconds.stepAt(7_799, 3), is(Step.ABORT));
    assertThat(eightSeconds.stepAt(7_799, 0), is(Step.END));
    assertThat(eightSeconds.stepAt(7_800, 3), is(Step.END));
  }

  @Test
  void shortGracePeriodKeepsTheOrderOfTheSteps() {
    ShutdownSchedule oneSecond = new ShutdownSchedule(1_000);
    assertThat(oneSecond.stepAt(449, 1), is(Step.SERVE));
    assertThat(oneSecond.stepAt(450, 1), is(Step.CLOSE));
    assertThat(oneSecond.stepAt(900, 1), is(Step.ABORT));
    assertThat(oneSecond.stepAt(975, 1), is(Step.END));
  }
}
