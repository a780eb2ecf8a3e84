package slateslip.loadbalancer.scale;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A discovery of fixed capacity: it answers calls one after another, each in its time, and a call
 * that waits too long is refused. Service times shorter than the loop's timer are kept in the mean,
 * since each begins when the one before it was due and not when the loop woke. All of it runs on
 * one event loop.
 */
final class DelayedResponseQueue {
  /** A call to be answered. */
  interface Call {
    /** How long its response takes, in nanoseconds, as things are now. */
    long costNanos();

    /** Its turn has come and its time has been spent. */
    void respond();

    /** It has waited too long, or too many wait. */
    void refuse();
  }

  private record Waiting(long cameAt, Call call) {}

  private final EventLoop loop;
  private final int limit;
  private final long patienceNanos;
  private final LongSupplier clock;
  private final Queue<Waiting> waiting = new ArrayDeque<>();
  private long freeAt;
  private boolean scheduled;

  /**
   * An idle queue.
   *
   * @param limit how many calls may wait
   * @param patienceNanos how long one may wait for its turn
   * @param clock nanoseconds
   */
  DelayedResponseQueue(EventLoop loop, int limit, long patienceNanos, LongSupplier clock) {
    this.loop = loop;
    this.limit = limit;
    this.patienceNanos = patienceNanos;
    this.clock = clock;
    this.freeAt = clock.getAsLong();
  }

  void add(Call call) {
    if (waiting.size() >= limit) {
      call.refuse();
      return;
    }
    waiting.add(new Waiting(clock.getAsLong(), call));
    run();
  }

  /** Forgets all that wait, without a response. */
  void clear() {
    waiting.clear();
  }

  private void run() {
    long now = clock.getAsLong();
    while (!waiting.isEmpty()) {
      Waiting next = waiting.peek();
      long from = Math.max(freeAt, next.cameAt);
      if (from - next.cameAt > patienceNanos) {
        waiting.poll().call.refuse();
        continue;
      }
      long until = from + next.call.costNanos();
      if (until > now) {
        wake(until - now);
        return;
      }
      freeAt = until;
      waiting.poll().call.respond();
    }
  }

  private void wake(long nanos) {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(
          () -> {
            scheduled = false;
            run();
          },
          nanos,
          TimeUnit.NANOSECONDS);
    }
  }
}
