package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slateslip.eventloop.WakeUpCounter;

/** Tests that periodic tasks run on shared ticks. The test controls the clock. */
class PeriodicTasksTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final PeriodicTasks periodic =
      new PeriodicTasks(channel.eventLoop(), new WakeUpCounter());
  private final AtomicInteger runsEveryTick = new AtomicInteger();
  private final AtomicInteger runsEveryThirdTick = new AtomicInteger();

  PeriodicTasksTest() {
    channel.freezeTime();
  }

  @AfterEach
  void close() {
    channel.close();
  }

  /**
   * Advances the clock by one tick interval, which contains exactly one tick, whatever the current
   * time of the steady clock is.
   */
  private void passTick() {
    channel.advanceTimeBy(PeriodicTasks.TICK_MILLIS, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
    channel.runScheduledPendingTasks();
  }

  @Test
  void eachTaskRunsInItsOwnIntervalRoundedUpToTicks() {
    periodic.every(PeriodicTasks.TICK_MILLIS, runsEveryTick::incrementAndGet);
    periodic.every(2 * PeriodicTasks.TICK_MILLIS + 1, runsEveryThirdTick::incrementAndGet);
    periodic.start();
    channel.runPendingTasks();
    for (int tick = 0; tick < 6; tick++) {
      passTick();
    }
    assertThat(runsEveryTick.get(), is(6));
    assertThat(runsEveryThirdTick.get(), is(2));
  }

  @Test
  void noTaskRunsBeforeTheStart() {
    periodic.every(PeriodicTasks.TICK_MILLIS, runsEveryTick::incrementAndGet);
    passTick();
    assertThat(runsEveryTick.get(), is(0));
  }
}
