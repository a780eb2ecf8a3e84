package slateslip.loadbalancer.scale;

import java.util.SplittableRandom;

/**
 * What a hollow agent carries, in place of clients and servers: when requests come, and how long
 * answers take.
 *
 * @param perSecond requests of one agent a second in the mean, 0 for none; they come as a Poisson
 *     process
 * @param medianMicros the median time of a response
 * @param sigma the spread of its logarithm; 0 for always the median
 */
record HollowLoad(double perSecond, long medianMicros, double sigma) {
  private static final double SECOND = 1_000_000;

  HollowLoad {
    if (!(perSecond >= 0) || medianMicros < 1 || !(sigma >= 0)) {
      throw new IllegalArgumentException("load: a rate, a median or a spread is out of range");
    }
  }

  /** Microseconds until the next request. */
  long gapMicros(SplittableRandom random) {
    return (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
  }

  /** Microseconds that one answer takes, log-normal. */
  long responseMicros(SplittableRandom random) {
    double normal = random.nextGaussian();
    return Math.max(1, (long) (medianMicros * Math.exp(sigma * normal)));
  }
}
