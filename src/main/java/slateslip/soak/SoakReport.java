package slateslip.soak;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Prints the results of a soak test. For each violation, only the related processes and
 * configuration changes are printed.
 */
final class SoakReport {
  private static final int MAX_VIOLATIONS = 5;
  private static final long RELATED_CHANGE_MILLIS = 9_000;

  private SoakReport() {}

  static void print(SoakOptions options, SoakRun.Result result, PrintStream out) {
    Map<String, Integer> outcomes = new TreeMap<>();
    for (RequestRecord request : result.records().requests()) {
      String key = request.kind() + " " + request.outcome() + " " + request.status();
      outcomes.merge(key, 1, Integer::sum);
    }
    outcomes.forEach((key, count) -> out.println("  " + key + ": " + count));
    Map<String, ProcessIncarnation> processes = result.records().incarnations();
    List<RequestRecord> crossedByClose =
        SoakChecker.crossedByClose(result.records().requests(), processes);
    long longest =
        crossedByClose.stream()
            .mapToLong(request -> request.endMillis() - request.sentMillis())
            .max()
            .orElse(0);
    out.printf(
        "  processes: %d; requests crossed by the end of their connection: %d, longest %d ms%n",
        processes.size(), crossedByClose.size(), longest);
    out.printf(
        "  limited tenant: %d runs, worst window %.2f of its quota%n",
        result.tenantRuns().size(),
        SoakQuota.maxWindowUnits(result.tenantRuns()) / SoakQuota.permittedUnits());
    List<SoakViolation> violations = result.violations();
    violations.stream().limit(MAX_VIOLATIONS).forEach(violation -> print(violation, result, out));
    out.printf(
        "seed %d: %d requests, %d configurations with %d bytes of padding, %d violations%n",
        options.seed(),
        result.records().requests().size(),
        result.records().configurations().size(),
        options.paddingBytes(),
        violations.size());
  }

  /**
   * Prints a violation with the incarnations that its detail names and the configuration changes
   * that ended within nine seconds of it.
   */
  private static void print(SoakViolation violation, SoakRun.Result result, PrintStream out) {
    out.println("VIOLATION " + violation);
    Stream<String> incarnations =
        result.records().incarnations().values().stream()
            .filter(incarnation -> violation.detail().contains(incarnation.name() + " "))
            .map(ProcessIncarnation::toString);
    Stream<String> configurations =
        result.records().configurations().stream()
            .filter(change -> change.kind() != ConfigurationRecord.Kind.READ)
            .filter(
                change ->
                    Math.abs(change.endMillis() - violation.atMillis()) < RELATED_CHANGE_MILLIS)
            .map(
                change ->
                    change.sentMillis()
                        + ".."
                        + change.endMillis()
                        + " "
                        + change.kind()
                        + " "
                        + change.version());
    Stream.concat(incarnations, configurations).forEach(line -> out.println("    " + line));
  }
}
