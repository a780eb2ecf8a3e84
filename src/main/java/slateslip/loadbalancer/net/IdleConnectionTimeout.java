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
  private static final long YOUNGEST_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final int CLASSES = 12;

  /**
   * Uses of a class before it is judged, and the share of breaks from which it is not used again.
   */
  private static final double USES_LEAST = 4;

  private static final double BREAKS_LIMIT = 0.25;

  /**
   * Half of what was seen counts after this time: a class given up is tried again after some of it.
   */
  private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private long mostNanos;
  private final double[] uses = new double[CLASSES];
  private final double[] breaks = new double[CLASSES];
  private long fadedAt;
  private long limitNanos;

  /** With the age that is never exceeded. */
  public IdleConnectionTimeout(long mostNanos, long now) {
    this.mostNanos = mostNanos;
    this.limitNanos = mostNanos;
    this.fadedAt = now;
  }

  /** With another age that is never exceeded; what was learnt stays. */
  public void limitTo(long most) {
    mostNanos = most;
    judge();
  }

  /** A connection that had idled for so long was used, and broke at once or did not. */
  public void used(long idleNanos, boolean broke, long now) {
    fade(now);
    int at = 0;
    while (at < CLASSES - 1 && idleNanos >= from(at + 1)) {
      at++;
    }
    uses[at]++;
    breaks[at] += broke ? 1 : 0;
    judge();
  }

  /** Forgets with time. */
  public void fade(long now) {
    double factor = Math.pow(0.5, (now - fadedAt) / HALF_LIFE_NANOS);
    fadedAt = now;
    for (int i = 0; i < CLASSES; i++) {
      uses[i] *= factor;
      breaks[i] *= factor;
    }
    judge();
  }

  /** From this age on a connection is not used again. */
  public long limitNanos() {
    return limitNanos;
  }

  /** The youngest age from which too many broke; the youngest class of all is always used. */
  private void judge() {
    limitNanos = mostNanos;
    for (int i = CLASSES - 1; i > 0; i--) {
      if (uses[i] >= USES_LEAST && breaks[i] >= BREAKS_LIMIT * uses[i]) {
        limitNanos = Math.min(mostNanos, from(i));
      }
    }
  }

  private static long from(int at) {
    return at == 0 ? 0 : YOUNGEST_NANOS << (at - 1);
  }
}
