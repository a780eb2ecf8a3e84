package slateslip.dataplane;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import slateslip.eventloop.WakeUpCause;
import slateslip.eventloop.WakeUpCounter;

/**
 * Runs the periodic work of a data plane in shared turns of its event loop, because waking a
 * process costs more than most of this work. Ticks fall on multiples of {@link #TICK_MILLIS} of the
 * steady clock, so that a timer that is rounded up to such a multiple shares a turn with them. All
 * methods except {@link #every} and {@link #start} have to be called on the event loop.
 */
public final class PeriodicTasks {
  /** Interval between two ticks, in milliseconds. */
  public static final long TICK_MILLIS = 100;

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);

  private final EventLoop loop;
  private final WakeUpCounter wakeUps;
  private final List<PeriodicTask> tasks = new ArrayList<>();
  private long ticks;

  private record PeriodicTask(long intervalTicks, Runnable task) {}

  /** Creates a schedule without tasks, which does not run before {@link #start}. */
  public PeriodicTasks(EventLoop loop, WakeUpCounter wakeUps) {
    this.loop = loop;
    this.wakeUps = wakeUps;
  }

  /** Returns the counter of the turns of this event loop. */
  public WakeUpCounter wakeUps() {
    return wakeUps;
  }

  /**
   * Adds a task that runs at a fixed interval, rounded up to whole ticks. Has to be called before
   * {@link #start}.
   *
   * @param millis interval in milliseconds
   */
  public void every(long millis, Runnable task) {
    tasks.add(new PeriodicTask(Math.max(1, (millis + TICK_MILLIS - 1) / TICK_MILLIS), task));
  }

  /** Starts to run the added tasks. */
  public void start() {
    loop.execute(this::scheduleNext);
  }

  private void scheduleNext() {
    long sinceTickNanos = Math.floorMod(System.nanoTime(), TICK_NANOS);
    loop.schedule(this::tick, TICK_NANOS - sinceTickNanos, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    scheduleNext(); // schedule the next tick first, because a task may throw
    wakeUps.attribute(WakeUpCause.PERIODIC);
    ticks++;
    for (PeriodicTask periodic : tasks) {
      if (ticks % periodic.intervalTicks() == 0) {
        periodic.task().run();
      }
    }
  }
}
