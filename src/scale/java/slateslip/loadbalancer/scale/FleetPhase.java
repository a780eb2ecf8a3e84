package slateslip.loadbalancer.scale;

import java.util.ArrayList;
import java.util.List;
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
 * @param realDiscovery what it did of that for real agents
 * @param peakCalls the most calls that discovery got in one second of it
 * @param failedCalls of hollow agents, as they found
 * @param hollowCpu of a core, all hollow agents together
 * @param realCpu of a core, all real agents together
 */
record FleetPhase(
    String name,
    double seconds,
    int changes,
    ChangeTimes.Spread hollow,
    ChangeTimes.Spread real,
    int agents,
    DiscoveryMeter.Sums discovery,
    DiscoveryMeter.Sums realDiscovery,
    double peakCalls,
    long failedCalls,
    double hollowCpu,
    double realCpu) {
  private static final int DIGITS = 3;

  /** The times of real agents, which are told in milliseconds one by one. */
  static ChangeTimes.Spread spread(List<Double> millis, long of) {
    Histogram micros = new Histogram(DIGITS);
    millis.forEach(each -> micros.recordValue(Math.max(0, Math.round(1_000 * each))));
    return new ChangeTimes.Spread(
        millis.size(),
        of,
        micros.getValueAtPercentile(50),
        micros.getValueAtPercentile(99),
        micros.getMaxValue());
  }

  /** Calls of an agent a second. */
  double callsPerAgent() {
    return discovery.calls() / seconds / agents;
  }

  /** Bytes of an agent a second, in both directions, without those of TCP and IP. */
  double bytesPerAgent() {
    return discovery.bytes() / seconds / agents;
  }

  /** Two tables of parts: when agents had changes, and what control cost. */
  static void tell(Report report, String title, List<FleetPhase> phases) {
    List<List<String>> times = new ArrayList<>();
    List<List<String>> costs = new ArrayList<>();
    for (FleetPhase each : phases) {
      List<String> row =
          new ArrayList<>(List.of(each.name, Report.number(each.seconds, 1), "" + each.changes));
      row.addAll(cells(each.hollow));
      row.addAll(cells(each.real));
      times.add(row);
      costs.add(
          List.of(
              each.name,
              Report.number(each.discovery.calls() / each.seconds, 0),
              Report.number(each.peakCalls, 0),
              "" + each.failedCalls,
              "" + each.discovery.wholes(),
              "" + each.discovery.refused(),
              Report.number(each.bytesPerAgent(), 1),
              Report.number(2 * each.callsPerAgent(), 3),
              share(each.discovery.cpuSeconds() / each.seconds),
              share(each.hollowCpu),
              share(each.realCpu)));
    }
    report.table(
        title + "; times from the change until agents have it, in ms",
        List.of(
            "part",
            "s",
            "changes",
            "hollow had",
            "half",
            "99%",
            "last",
            "real had",
            "half",
            "99%",
            "last"),
        times);
    report.table(
        "control: calls a second at discovery, and what each agent has of it; CPU in % of a "
            + "core, all together",
        List.of(
            "part",
            "calls/s",
            "most in 1 s",
            "failed",
            "whole lists",
            "503",
            "B/s each",
            "messages/s each",
            "CPU discovery",
            "CPU hollow",
            "CPU real"),
        costs);
  }

  /** How many had it, and when half, 99 in 100 and the last had, in milliseconds. */
  static List<String> cells(ChangeTimes.Spread spread) {
    return List.of(
        spread.had() + "/" + spread.of(),
        millis(spread.p50Micros()),
        millis(spread.p99Micros()),
        millis(spread.lastMicros()));
  }

  private static String millis(long micros) {
    return Report.number(micros / 1_000.0, 1);
  }

  private static String share(double cores) {
    return Report.number(100 * cores, 1);
  }
}
