package gatefront.scale;

import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * What one part of an experiment measured.
 *
 * @param name of the part
 * @param seconds how long it took
 * @param changes how many changes discovery told in it
 * @param hollow when hollow agents had them
 * @param real the same of real agents
 * @param agents how many of both there were
 * @param discovery what discovery did
 * @param peakCalls the most calls that discovery got in one second of it
 * @param failedCalls of hollow agents, as they found
 * @param hollowCpu of a core, all hollow agents together
 * @param realCpu of a core, all real agents together
 */
record FleetPhase(String name, double seconds, int changes, ChangeTimes.Spread hollow, ChangeTimes.Spread real,
                  int agents, DiscoveryMeter.Sums discovery, double peakCalls, long failedCalls, double hollowCpu,
                  double realCpu) {
    private static final int DIGITS = 3;
    private static final String ROW = "%-10s %6s %7s | %13s %8s %8s %8s | %9s %8s %8s %8s | %8s %8s %6s %8s %8s %6s"
        + " | %6s %6s%n";

    /** The times of real agents, which are told in milliseconds one by one. */
    static ChangeTimes.Spread spread(List<Double> millis, long of) {
        Histogram micros = new Histogram(DIGITS);
        millis.forEach(each -> micros.recordValue(Math.max(0, Math.round(1_000 * each))));
        return new ChangeTimes.Spread(millis.size(), of, micros.getValueAtPercentile(50),
            micros.getValueAtPercentile(99), micros.getMaxValue());
    }

    /** Calls of an agent a second. */
    double callsPerAgent() {
        return discovery.calls() / seconds / agents;
    }

    /** Bytes of an agent a second, in both directions, without those of TCP and IP. */
    double bytesPerAgent() {
        return discovery.bytes() / seconds / agents;
    }

    /** A table of parts: times in milliseconds, processor time in parts of a core. */
    static String table(List<FleetPhase> phases) {
        StringBuilder table = new StringBuilder();
        table.append(row("part", "s", "changes", "hollow had", "half ms", "99% ms", "last ms", "real had", "half ms",
            "99% ms", "last ms", "calls/s", "peak/s", "failed", "B/s each", "call/s e", "disc", "hollow", "real"));
        for (FleetPhase each : phases) {
            table.append(row(each.name, each.seconds, each.changes, each.hollow.had() + "/" + each.hollow.of(),
                millis(each.hollow.p50Micros()), millis(each.hollow.p99Micros()),
                millis(each.hollow.lastMicros()), each.real.had() + "/" + each.real.of(),
                millis(each.real.p50Micros()), millis(each.real.p99Micros()), millis(each.real.lastMicros()),
                Math.round(each.discovery.calls() / each.seconds), Math.round(each.peakCalls), each.failedCalls,
                Math.round(each.bytesPerAgent()), each.callsPerAgent(),
                each.discovery.cpuSeconds() / each.seconds, each.hollowCpu, each.realCpu));
        }
        return table.toString();
    }

    private static double millis(long micros) {
        return micros / 1_000.0;
    }

    private static String row(Object... cells) {
        for (int i = 0; i < cells.length; i++) {
            if (cells[i] instanceof Double number) {
                cells[i] = String.format(Locale.ROOT, number < 10 ? "%.3f" : "%.1f", number);
            }
        }
        return String.format(Locale.ROOT, ROW, cells);
    }
}
