package slateslip.loadbalancer.net;

import java.util.concurrent.TimeUnit;

/**
 * Learns how long a connection to a server may idle before it is dead. Guards against a network
 * that drops idle connections in silence, long before the servers would close them: nothing shows
 * until a request is written, and then it may have run. What has been learnt fades, for the network
 * may change.
 */
public final class IdleConnectionTimeout {
  /** The youngest class of ages ends here, each further one at twice the age of the one before. */
  private static final long FIRST_BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final int AGE_BUCKETS = 12;

  /**
   * Uses of a class before it is judged, and the share of breaks from which it is not used again.
   */
  private static final double MIN_USES = 4;

  private static final double MAX_RESET_FRACTION = 0.25;

  /**
   * Half of what was seen counts after this time: a class given up is tried again after some of it.
   */
  private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private long maxNanos;
  private final double[] uses = new double[AGE_BUCKETS];
  private final double[] resets = new double[AGE_BUCKETS];
  private long decayedAt;
  private long limitNanos;

  /** With the age that is never exceeded. */
  public IdleConnectionTimeout(long maxNanos, long now) {
    this.maxNanos = maxNanos;
    this.limitNanos = maxNanos;
    this.decayedAt = now;
  }

  /** With another age that is never exceeded; what was learnt stays. */
  public void limitTo(long maxNanos) {
    this.maxNanos = maxNanos;
    updateLimit();
  }

  /** A connection that had idled for so long was used, and broke at once or did not. */
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

  /** Forgets with time. */
  public void decay(long now) {
    double factor = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_NANOS);
    decayedAt = now;
    for (int i = 0; i < AGE_BUCKETS; i++) {
      uses[i] *= factor;
      resets[i] *= factor;
    }
    updateLimit();
  }

  /** From this age on a connection is not used again. */
  public long limitNanos() {
    return limitNanos;
  }

  /** The youngest age from which too many broke; the youngest class of all is always used. */
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
