package slateslip.dataplane;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import slateslip.eventloop.WakeUpCause;
import slateslip.eventloop.WakeUpCounter;

/**
 * Runs the periodic work of a data plane in common turns of its event loop: to wake a process costs
 * more than most of this work. Ticks come at multiples of {@link #TICK_MILLIS} of the steady clock,
 * so that whoever rounds a time up to these shares a turn with them. On the event loop, but for
 * {@link #every} and {@link #start}.
 */
public final class PeriodicTasks {
  /** Between two ticks. */
  public static final long TICK_MILLIS = 100;

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);

  private final EventLoop loop;
  private final WakeUpCounter wakeUps;
  private final List<PeriodicTask> tasks = new ArrayList<>();
  private long ticks;

  private record PeriodicTask(long everyTicks, Runnable task) {}

  /** Nothing runs before {@link #start}. */
  public PeriodicTasks(EventLoop loop, WakeUpCounter wakeUps) {
    this.loop = loop;
    this.wakeUps = wakeUps;
  }

  /** Counts the turns of this event loop. */
  public WakeUpCounter wakeUps() {
    return wakeUps;
  }

  /** Adds work to be done in this interval, rounded up to ticks; before the start. */
  public void every(long millis, Runnable task) {
    tasks.add(new PeriodicTask(Math.max(1, (millis + TICK_MILLIS - 1) / TICK_MILLIS), task));
  }

  /** Begins to run what was added. */
  public void start() {
    loop.execute(this::scheduleNext);
  }

  private void scheduleNext() {
    long sinceTickNanos = Math.floorMod(System.nanoTime(), TICK_NANOS);
    loop.schedule(this::tick, TICK_NANOS - sinceTickNanos, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    scheduleNext(); // before the work, which may fail
    wakeUps.attribute(WakeUpCause.PERIODIC);
    ticks++;
    for (PeriodicTask periodic : tasks) {
      if (ticks % periodic.everyTicks() == 0) {
        periodic.task().run();
      }
    }
  }
}
