package slateslip.loadbalancer.scale;

import java.util.SplittableRandom;

/** When calls come: a Poisson process, the same for the same seed. */
final class Arrivals {
  private final SplittableRandom random;
  private final double perNano;
  private double at;

  /**
   * Starts at 0.
   *
   * @param perSecond calls a second in the mean
   */
  Arrivals(long seed, double perSecond) {
    this.random = new SplittableRandom(seed);
    this.perNano = perSecond / 1e9;
  }

  /** When the next call comes, in nanoseconds from the start. */
  long next() {
    at -= Math.log(1 - random.nextDouble()) / perNano;
    return (long) at;
  }
}
