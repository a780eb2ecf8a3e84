package slateslip.loadbalancer.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether hollow agents are like real ones: as many of both under the same load and the same
 * changes, at one discovery. What each side asks and gets is compared, part by part; where they
 * differ by more than a tenth, the factor says how.
 */
final class LikenessExperiment implements Experiment {
  private static final int SPARE_SECONDS = 300;
  private static final double ALIKE = 0.1;

  private final FleetPlan plan;

  LikenessExperiment(Keys keys) {
    plan = FleetPlan.of(keys);
    if (plan.hollow() == 0 || plan.real() == 0) {
      throw keys.bad("hollow", "and real have to be more than 0");
    }
  }

  @Override
  public int limitSeconds() {
    return plan.beforeSeconds()
        + 2 * plan.events().size() * plan.eventSeconds()
        + plan.afterSeconds()
        + SPARE_SECONDS;
  }

  @Override
  public void play(Report report, Children children) throws IOException {
    FleetResult result = FleetRun.play(plan, report, children);
    List<List<String>> rows = new ArrayList<>();
    for (FleetPhase each : result.phases()) {
      DiscoveryMeter.Sums real = each.realDiscovery();
      DiscoveryMeter.Sums hollow = each.discovery().minus(real);
      compare(rows, each.name(), "calls", (double) real.calls(), (double) hollow.calls());
      compare(
          rows,
          each.name(),
          "lists and changes",
          (double) (real.wholes() + real.deltas()),
          (double) (hollow.wholes() + hollow.deltas()));
      compare(
          rows,
          each.name(),
          "bytes to discovery",
          (double) real.bytesIn(),
          (double) hollow.bytesIn());
      compare(
          rows,
          each.name(),
          "bytes from discovery",
          (double) real.bytesOut(),
          (double) hollow.bytesOut());
    }
    compare(
        rows,
        "all",
        "requests sent to servers",
        result.totals().path("backends_calls").asDouble(),
        result.totals().path("attempts").asDouble());
    compare(
        rows,
        "all",
        "probes",
        result.totals().path("backends_probes").asDouble(),
        result.totals().path("probes").asDouble());
    report.table(
        plan.name()
            + ": what "
            + plan.real()
            + " real and "
            + plan.hollow()
            + " hollow agents did, each in the mean",
        List.of("part", "figure", "real", "hollow", "factor", "alike"),
        rows);
    if (!result.outcome().complaints().isEmpty()) {
      throw new IOException(String.join("; ", result.outcome().complaints()));
    }
  }

  private void compare(
      List<List<String>> rows, String part, String figure, double real, double hollow) {
    double ofReal = real / plan.real();
    double ofHollow = hollow / plan.hollow();
    rows.add(
        List.of(
            part,
            figure,
            Report.number(ofReal, 2),
            Report.number(ofHollow, 2),
            Report.number(ofHollow / ofReal, 3),
            alike(ofReal, ofHollow) ? "yes" : "no"));
  }

  /** Whether two figures are within a tenth of the first. */
  static boolean alike(double real, double hollow) {
    return Math.abs(hollow - real) <= ALIKE * real;
  }
}
