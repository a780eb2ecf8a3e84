package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slateslip.eventloop.WakeUpCounter;

/** Periodic work shares its ticks; time is the test's. */
class PeriodicTasksTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final PeriodicTasks periodic =
      new PeriodicTasks(channel.eventLoop(), new WakeUpCounter());
  private final AtomicInteger often = new AtomicInteger();
  private final AtomicInteger seldom = new AtomicInteger();

  PeriodicTasksTest() {
    channel.freezeTime();
  }

  @AfterEach
  void close() {
    channel.close();
  }

  /** The next tick comes within its interval, wherever on the steady clock that begins. */
  private void passTick() {
    channel.advanceTimeBy(PeriodicTasks.TICK_MILLIS, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
    channel.runScheduledPendingTasks();
  }

  @Test
  void eachTaskRunsInItsOwnIntervalRoundedUpToTicks() {
    periodic.every(PeriodicTasks.TICK_MILLIS, often::incrementAndGet);
    periodic.every(2 * PeriodicTasks.TICK_MILLIS + 1, seldom::incrementAndGet);
    periodic.start();
    channel.runPendingTasks();
    for (int tick = 0; tick < 6; tick++) {
      passTick();
    }
    assertThat(often.get(), is(6));
    assertThat(seldom.get(), is(2));
  }

  @Test
  void nothingRunsBeforeTheStart() {
    periodic.every(PeriodicTasks.TICK_MILLIS, often::incrementAndGet);
    passTick();
    assertThat(often.get(), is(0));
  }
}
