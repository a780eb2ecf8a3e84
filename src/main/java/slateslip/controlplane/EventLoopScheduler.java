package slateslip.controlplane;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import slateslip.controlplane.agent.Scheduler;

/** Steady time and timers of a Netty event loop. */
final class EventLoopScheduler implements Scheduler {
  private final EventLoop loop;
  private final MonotonicClock clock;

  EventLoopScheduler(EventLoop loop, MonotonicClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  @Override
  public long nowMicros() {
    return clock.micros();
  }

  @Override
  public Timer schedule(long delayMicros, Runnable task) {
    ScheduledFuture<?> scheduled = loop.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    return () -> scheduled.cancel(false);
  }

  @Override
  public void repeat(long periodMicros, Runnable task) {
    loop.scheduleAtFixedRate(task, periodMicros, periodMicros, TimeUnit.MICROSECONDS);
  }
}
