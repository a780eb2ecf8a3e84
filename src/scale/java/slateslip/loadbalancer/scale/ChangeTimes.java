package slateslip.loadbalancer.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;

/**
 * When each agent has each change. An agent has a change once its list is that of this change or of
 * a later one, for it may be told several at once. Each agent is written by one thread at a time.
 */
final class ChangeTimes {
  /**
   * How long changes took, in microseconds.
   *
   * @param had how often an agent had one of the changes
   * @param of how often that would be if every agent had every change
   */
  record Spread(long had, long of, long p50Micros, long p99Micros, long lastMicros) {}

  private static final long LONGEST_MICROS = 600_000_000L;
  private static final int DIGITS = 3;

  private final int agents;

  /** The numbers of the changes, which grow, by the fingerprint of the list that they lead to. */
  private final Map<Long, Integer> changes = new ConcurrentHashMap<>();

  /** By change, when each agent had it; 0 for not yet. */
  private final Map<Integer, long[]> times = new ConcurrentHashMap<>();

  private final int[] last;

  ChangeTimes(int agents) {
    this.agents = agents;
    this.last = new int[agents];
    Arrays.fill(last, -1);
  }

  /** Announces a change before it is made; changes are numbered from 0 without gaps. */
  void expect(int change, long fingerprint) {
    times.put(change, new long[agents]);
    if (changes.putIfAbsent(fingerprint, change) != null) {
      throw new IllegalArgumentException("change " + change + " leads back to an earlier list");
    }
  }

  /** An agent's list is now one with this fingerprint. */
  void applied(int agent, long fingerprint, long nanoTime) {
    Integer change = changes.get(fingerprint);
    if (change != null) {
      while (last[agent] < change) {
        times.get(++last[agent])[agent] = nanoTime;
      }
    }
  }

  /**
   * How long changes took from when each was made, all of them together.
   *
   * @param first the number of the first of them
   * @param made when each was made, by {@link System#nanoTime}; one not announced has reached
   *     nobody
   */
  Spread spread(int first, List<Long> made) {
    Histogram micros = new Histogram(LONGEST_MICROS, DIGITS);
    for (int i = 0; i < made.size(); i++) {
      for (long at : times.getOrDefault(first + i, new long[0])) {
        if (at != 0) {
          micros.recordValue(Math.min(LONGEST_MICROS, Math.max(0, (at - made.get(i)) / 1000)));
        }
      }
    }
    return new Spread(
        micros.getTotalCount(),
        (long) agents * made.size(),
        micros.getValueAtPercentile(50),
        micros.getValueAtPercentile(99),
        micros.getMaxValue());
  }
}
