package slateslip.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The tenant of a soak test whose requests exceed its quota, and the limit that the fleet must
 * enforce.
 */
final class SoakQuota {
  static final String TENANT_HEADER = "X-Tenant";
  static final String USAGE_HEADER = "X-Token-Usage";
  static final String KEY = "soak-key";
  static final long WINDOW_MILLIS = 8_000;
  static final double OVERSHOOT = 0.1;

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long UNITS_PER_SECOND = 3_000;
  private static final long[] PROMPT_UNITS = {200, 900, 2_400};
  private static final long OUTPUT_UNITS = 100;

  private SoakQuota() {}

  /**
   * Returns a random value for the token usage header: prompt tokens and output tokens, separated
   * by a comma.
   */
  static String drawUsage(SplittableRandom random) {
    return PROMPT_UNITS[random.nextInt(PROMPT_UNITS.length)] + "," + OUTPUT_UNITS;
  }

  static long units(String usage) {
    int comma = usage.indexOf(',');
    return Long.parseLong(usage.substring(0, comma)) + Long.parseLong(usage.substring(comma + 1));
  }

  /** Returns the tenant's JSON object in the configuration document. */
  static String tenant() {
    return "{\"name\":\"limited\",\"api_keys\":[\""
        + KEY
        + "\"],\"unit\":\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":"
        + UNITS_PER_SECOND
        + ",\"burst\":"
        + UNITS_PER_SECOND
        + "}";
  }

  /**
   * Returns the maximum number of units that the tenant may use in one window: the rate times the
   * window plus the burst, increased by the permitted overshoot.
   */
  static double permittedUnits() {
    long quota = UNITS_PER_SECOND * WINDOW_MILLIS / MILLIS_PER_SECOND + UNITS_PER_SECOND;
    return quota * (1 + OVERSHOOT);
  }

  /**
   * Returns the maximum number of units that were executed in any window. The runs must be sorted
   * by time.
   */
  static long maxWindowUnits(List<TenantRun> runs) {
    Deque<TenantRun> window = new ArrayDeque<>();
    long sum = 0;
    long worst = 0;
    for (TenantRun run : runs) {
      window.addLast(run);
      sum += run.units();
      while (window.peekFirst().atMillis() <= run.atMillis() - WINDOW_MILLIS) {
        sum -= window.removeFirst().units();
      }
      worst = Math.max(worst, sum);
    }
    return worst;
  }
}
