package slateslip.loadbalancer.net;

import java.util.concurrent.TimeUnit;

/**
 * Learns how long a connection to a backend may be idle before it is dead. A network may silently
 * drop idle connections long before the backends close them; the failure shows only when a request
 * is written, and the backend may then have processed that request. Old observations decay, because
 * the network may change.
 */
public final class IdleConnectionTimeout {
  /**
   * The upper bound of the first idle time bucket. The bound of each further bucket is twice that
   * of the one before.
   */
  private static final long FIRST_BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final int AGE_BUCKETS = 12;

  /**
   * The number of uses from which a bucket is evaluated. {@link #MAX_RESET_FRACTION} is the
   * fraction of resets from which connections of the bucket are not reused.
   */
  private static final double MIN_USES = 4;

  private static final double MAX_RESET_FRACTION = 0.25;

  /**
   * The time after which an observation counts half. It lets the agent try the connections of a
   * rejected bucket again after a while.
   */
  private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private long maxNanos;
  private final double[] uses = new double[AGE_BUCKETS];
  private final double[] resets = new double[AGE_BUCKETS];
  private long decayedAt;
  private long limitNanos;

  /**
   * Starts without observations.
   *
   * @param maxNanos the idle time limit that is never exceeded, in nanoseconds
   * @param now the current time in nanoseconds
   */
  public IdleConnectionTimeout(long maxNanos, long now) {
    this.maxNanos = maxNanos;
    this.limitNanos = maxNanos;
    this.decayedAt = now;
  }

  /** Sets another upper limit, in nanoseconds, and keeps the observations. */
  public void setMaxNanos(long maxNanos) {
    this.maxNanos = maxNanos;
    updateLimit();
  }

  /**
   * Records that a connection was used after the given idle time, and whether it was reset
   * immediately.
   */
  public void recordUse(long idleNanos, boolean reset, long now) {
    decay(now);
    int bucket = 0;
    while (bucket < AGE_BUCKETS - 1 && idleNanos >= bucketStart(bucket + 1)) {
      bucket++;
    }
    uses[bucket]++;
    resets[bucket] += reset ? 1 : 0;
    updateLimit();
  }

  /** Reduces the weight of the observations according to the time that has passed. */
  public void decay(long now) {
    double factor = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_NANOS);
    decayedAt = now;
    for (int i = 0; i < AGE_BUCKETS; i++) {
      uses[i] *= factor;
      resets[i] *= factor;
    }
    updateLimit();
  }

  /** Returns the idle time, in nanoseconds, from which a connection must not be reused. */
  public long limitNanos() {
    return limitNanos;
  }

  /**
   * Sets the limit to the start of the first bucket with too many resets. Connections of the very
   * first bucket are always reused.
   */
  private void updateLimit() {
    limitNanos = maxNanos;
    for (int i = AGE_BUCKETS - 1; i > 0; i--) {
      if (uses[i] >= MIN_USES && resets[i] >= MAX_RESET_FRACTION * uses[i]) {
        limitNanos = Math.min(maxNanos, bucketStart(i));
      }
    }
  }

  private static long bucketStart(int bucket) {
    return bucket == 0 ? 0 : FIRST_BUCKET_NANOS << (bucket - 1);
  }
}
