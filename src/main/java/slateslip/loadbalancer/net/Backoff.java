package slateslip.loadbalancer.net;

import java.util.SplittableRandom;

/**
 * Waits before a call that failed is made again: each twice the one before, up to a limit, and the
 * latter half of each by chance. Guards against agents that were cut off in one moment and call
 * again in step: at the size of a fleet that is all calls of a second in some milliseconds.
 */
public final class Backoff {
  private final long minMillis;
  private final long maxMillis;
  private final SplittableRandom random;
  private long wait;

  /**
   * The first wait comes next.
   *
   * @param minMillis the first wait at the most, ms, 2 at the least
   * @param maxMillis any wait at the most, ms
   * @param seed for the chance; no two agents are to have the same
   */
  public Backoff(long minMillis, long maxMillis, long seed) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.random = new SplittableRandom(seed);
    this.wait = minMillis;
  }

  /** The next wait, ms: between a half of and all of its length. */
  public long next() {
    long now = wait - random.nextLong(wait / 2 + 1);
    wait = Math.min(2 * wait, maxMillis);
    return now;
  }

  /** A call was answered: the next wait is the first one again. */
  public void reset() {
    wait = minMillis;
  }
}
