package gatefront.scale;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;

/**
 * When each agent has each change. An agent has a change once its list is that of this change or of a later
 * one, for it may be told several at once. Each agent is written by one thread at a time.
 */
final class Arrivals {
    /** What a change's arrival is told as, in microseconds from when it was made. */
    record Spread(int agents, int of, long p50Micros, long p99Micros, long lastMicros) { }

    private static final long LONGEST_MICROS = 600_000_000L;

    private final int agents;
    /** The numbers of the changes, which grow, by the fingerprint of the list that they lead to. */
    private final Map<Long, Integer> changes = new ConcurrentHashMap<>();
    /** By change, when each agent had it; 0 for not yet. */
    private final Map<Integer, long[]> times = new ConcurrentHashMap<>();
    private final int[] last;

    Arrivals(int agents) {
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

    /** How long a change took, from when it was made; one that was never announced has reached nobody. */
    Spread spread(int change, long madeAtNanos) {
        Histogram micros = new Histogram(LONGEST_MICROS, 3);
        for (long at : times.getOrDefault(change, new long[0])) {
            if (at != 0) {
                micros.recordValue(Math.min(LONGEST_MICROS, Math.max(0, (at - madeAtNanos) / 1000)));
            }
        }
        return new Spread((int) micros.getTotalCount(), agents, micros.getValueAtPercentile(50),
            micros.getValueAtPercentile(99), micros.getMaxValue());
    }
}
