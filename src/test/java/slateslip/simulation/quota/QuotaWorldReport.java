package slateslip.simulation.quota;

import java.util.List;
import java.util.Locale;

/**
 * Prints the share of refused requests and the worst window for several limits, fleet sizes and
 * demands, and the number of random schedules that break the quota rule. The argument is the number
 * of schedules.
 */
public final class QuotaWorldReport {
  private static final int[] FLEET_SIZES = {6, 24, 94};
  private static final double[] RATES = {47_000, 200_000, 800_000};
  private static final double[] DEMANDS = {0.6, 0.77, 0.9, 1, 4.6};
  private static final int SEEDS = 5;
  private static final long DURATION_MICROS = 60 * QuotaWorld.SECOND;
  private static final int SCHEDULES_DEFAULT = 200;

  private QuotaWorldReport() {}

  /** Runs the simulations and prints the results. */
  public static void main(String[] arguments) {
    for (double rate : RATES) {
      for (int dataPlanes : FLEET_SIZES) {
        for (double demand : DEMANDS) {
          printWithoutFaults(rate, dataPlanes, demand);
        }
      }
    }
    long schedules = arguments.length > 0 ? Long.parseLong(arguments[0]) : SCHEDULES_DEFAULT;
    long broken = 0;
    double worst = 0;
    long worstSeed = 0;
    for (long seed = 1; seed <= schedules; seed++) {
      double window = QuotaWorld.run(QuotaPlan.random(seed)).worstWindow();
      broken += window > 1 ? 1 : 0;
      if (window > worst) {
        worst = window;
        worstSeed = seed;
      }
    }
    print("%d of %d schedules broken, worst %.3f, seed %d", broken, schedules, worst, worstSeed);
  }

  private static void printWithoutFaults(double rate, int dataPlanes, double demand) {
    double worst = 0;
    double refused = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      QuotaPlan plan = new QuotaPlan(seed, dataPlanes, rate, demand, DURATION_MICROS, List.of());
      QuotaWorld.Result result = QuotaWorld.run(plan);
      worst = Math.max(worst, result.worstWindow());
      refused += result.refusedFraction() / SEEDS;
    }
    print(
        "limit %.0f, %d data planes, demand %.2f of it: refused %.2f in 100, worst window %.3f",
        rate, dataPlanes, demand, 100 * refused, worst);
  }

  private static void print(String format, Object... arguments) {
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }
}
