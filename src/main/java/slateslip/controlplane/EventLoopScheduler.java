package slateslip.controlplane;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import slateslip.controlplane.agent.Scheduler;

/** Steady time and timers of a Netty event loop. */
final class EventLoopScheduler implements Scheduler {
  private final EventLoop eventLoop;
  private final MonotonicClock clock;

  EventLoopScheduler(EventLoop eventLoop, MonotonicClock clock) {
    this.eventLoop = eventLoop;
    this.clock = clock;
  }

  @Override
  public long nowMicros() {
    return clock.micros();
  }

  @Override
  public Timer schedule(long delayMicros, Runnable task) {
    ScheduledFuture<?> scheduled = eventLoop.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    return () -> scheduled.cancel(false);
  }

  @Override
  public void scheduleAtFixedRate(long periodMicros, Runnable task) {
    eventLoop.scheduleAtFixedRate(task, periodMicros, periodMicros, TimeUnit.MICROSECONDS);
  }
}
