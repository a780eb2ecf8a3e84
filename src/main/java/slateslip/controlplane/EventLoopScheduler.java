package slateslip.controlplane;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import slateslip.controlplane.agent.Scheduler;
import slateslip.eventloop.WakeUpCause;
import slateslip.eventloop.WakeUpCounter;

/**
 * Provides the monotonic time and the timers of a Netty event loop, and counts the wake-ups that
 * timers cause.
 */
final class EventLoopScheduler implements Scheduler {
  private final EventLoop eventLoop;
  private final MonotonicClock clock;
  private final WakeUpCounter wakeUps;

  EventLoopScheduler(EventLoop eventLoop, MonotonicClock clock, WakeUpCounter wakeUps) {
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.wakeUps = wakeUps;
  }

  @Override
  public long nowMicros() {
    return clock.micros();
  }

  @Override
  public Timer schedule(long delayMicros, Runnable task) {
    ScheduledFuture<?> scheduled =
        eventLoop.schedule(counted(task), delayMicros, TimeUnit.MICROSECONDS);
    return () -> scheduled.cancel(false);
  }

  @Override
  public void scheduleAtFixedRate(long periodMicros, Runnable task) {
    eventLoop.scheduleAtFixedRate(counted(task), periodMicros, periodMicros, TimeUnit.MICROSECONDS);
  }

  private Runnable counted(Runnable task) {
    return () -> {
      wakeUps.attribute(WakeUpCause.PERIODIC);
      task.run();
    };
  }
}
