package slateslip.simulation.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The input of a simulated run; equal plans give equal runs.
 *
 * @param seed seed of all random choices
 * @param dataPlanes number of data planes
 * @param ratePerSecond limit of the tenant in units per second, and its burst in units
 * @param demand rate that the tenant requests, as a multiple of its limit
 * @param durationMicros duration of the run in microseconds
 * @param faults schedule of faults, in any order
 */
record QuotaPlan(
    long seed,
    int dataPlanes,
    double ratePerSecond,
    double demand,
    long durationMicros,
    List<QuotaFault> faults) {
  private static final long SECOND = 1_000_000;
  private static final int MAX_FAULTS = 8;

  /** One of this many faults, on average, may last up to 30 seconds and so outlast a lease. */
  private static final int LASTING_FAULTS = 5;

  private static final int[] FLEET_SIZES = {6, 24, 94};
  private static final double[] RATES = {47_000, 200_000, 800_000};

  QuotaPlan withFaults(List<QuotaFault> other) {
    return new QuotaPlan(seed, dataPlanes, ratePerSecond, demand, durationMicros, other);
  }

  /**
   * Returns a random plan with 6, 24 or 94 data planes, one tenant that exceeds its limit, and
   * faults.
   */
  static QuotaPlan random(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int dataPlanes = FLEET_SIZES[random.nextInt(FLEET_SIZES.length)];
    double rate = RATES[random.nextInt(RATES.length)];
    double demand = 1 + 5 * random.nextDouble();
    List<QuotaFault> faults = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_FAULTS);
    QuotaFault.Kind[] kinds = QuotaFault.Kind.values();
    for (int i = 0; i < count; i++) {
      QuotaFault.Kind kind = kinds[random.nextInt(kinds.length)];
      long atMicros = random.nextLong(8 * SECOND, 40 * SECOND);
      boolean lasting = random.nextInt(LASTING_FAULTS) == 0;
      long forMicros = random.nextLong(SECOND / 5, (lasting ? 30 : 8) * SECOND);
      faults.add(new QuotaFault(kind, atMicros, forMicros, 0.1 + 0.6 * random.nextDouble()));
    }
    return new QuotaPlan(seed, dataPlanes, rate, demand, 50 * SECOND, faults);
  }
}
