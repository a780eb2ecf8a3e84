package slateslip.experiment;

import java.util.List;
import java.util.Locale;
import slateslip.experiment.ExperimentRun.VariantResult;
import slateslip.simulation.dataplane.Measurements.Group;

/**
 * Formats results as a table with one line for each variant and request class, followed by one line
 * for each variant and tenant.
 */
final class ResultTable {
  private static final String HEAD =
      "| variant | group | requests | worth | in time | late | refused | failed |"
          + " first p50 | p95 | p99 ms | pause p99 | kept | read again k |\n"
          + "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

  private ResultTable() {}

  /**
   * Returns all tables in Markdown, followed by the cross-zone calls, probes and rule violations of
   * each variant.
   */
  static String format(List<VariantResult> results) {
    StringBuilder table = new StringBuilder(HEAD);
    for (VariantResult result : results) {
      appendLine(table, result.variant(), "all", result.measurements().whole());
      result
          .measurements()
          .byClass()
          .forEach((name, g) -> appendLine(table, result.variant(), name, g));
    }
    for (VariantResult result : results) {
      result
          .measurements()
          .byTenant()
          .forEach((name, g) -> appendLine(table, result.variant(), name, g));
    }
    table.append(PairedDifference.format(results));
    for (VariantResult result : results) {
      table.append(
          String.format(
              Locale.ROOT,
              "%n%s: calls to another zone %.1f in 100, probes %d, rules broken %d%n",
              result.variant(),
              100 * result.measurements().otherZoneShare(),
              result.measurements().probes(),
              result.violations()));
    }
    return table.toString();
  }

  private static void appendLine(StringBuilder table, String variant, String name, Group group) {
    table.append(
        String.format(
            Locale.ROOT,
            "| %s | %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f | %.0f | %.0f | %s |"
                + " %.0f |%n",
            variant,
            name,
            group.total(),
            group.valueFraction(),
            fraction(group.inTime(), group),
            fraction(group.late(), group),
            fraction(group.refused(), group),
            fraction(group.failed(), group),
            millis(group.firstMicros().getValueAtPercentile(50)),
            millis(group.firstMicros().getValueAtPercentile(95)),
            millis(group.firstMicros().getValueAtPercentile(99)),
            millis(group.gapMicros().getValueAtPercentile(99)),
            Double.isNaN(group.cachedFraction())
                ? "-"
                : String.format(Locale.ROOT, "%.3f", group.cachedFraction()),
            group.sharedTokensReadAgain() / 1e3));
  }

  private static double fraction(long part, Group group) {
    return group.total() == 0 ? 0 : (double) part / group.total();
  }

  private static double millis(long micros) {
    return micros / 1e3;
  }
}
