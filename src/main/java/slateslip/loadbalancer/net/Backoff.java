package slateslip.loadbalancer.net;

import java.util.SplittableRandom;

/**
 * Computes the delays before a failed call is retried: exponential backoff up to a limit, with
 * jitter over the second half of each delay. Without the jitter, agents that lose a service at the
 * same moment would retry in step; at fleet size all calls of a second would then arrive within a
 * few milliseconds.
 */
public final class Backoff {
  private final long minMillis;
  private final long maxMillis;
  private final SplittableRandom random;
  private long limitMillis;

  /**
   * Starts with the shortest delay.
   *
   * @param minMillis the upper limit of the first delay, in milliseconds; at least 2
   * @param maxMillis the upper limit of any delay, in milliseconds
   * @param seed the seed of the jitter, which must differ between agents
   */
  public Backoff(long minMillis, long maxMillis, long seed) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.random = new SplittableRandom(seed);
    this.limitMillis = minMillis;
  }

  /**
   * Returns the next delay in milliseconds, between half of the current limit and the limit, and
   * doubles the limit.
   */
  public long next() {
    long delay = limitMillis - random.nextLong(limitMillis / 2 + 1);
    limitMillis = Math.min(2 * limitMillis, maxMillis);
    return delay;
  }

  /** Resets the delay to its initial value after a successful call. */
  public void reset() {
    limitMillis = minMillis;
  }
}
