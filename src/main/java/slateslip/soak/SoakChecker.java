package slateslip.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateslip.soak.ConfigurationRecord.Kind;
import slateslip.soak.RequestRecord.Outcome;
import slateslip.soak.SoakViolation.Rule;

/** Checks the records of a soak test for rule violations. All methods are pure functions. */
final class SoakChecker {
  /**
   * A request that is sent more than this time after SIGTERM must get a complete response or a
   * refusal.
   */
  static final long SENT_AFTER_STOP_MILLIS = 3_000;

  /**
   * A request that waited for at least this time on an open connection counts as read by the data
   * plane, so that the data plane must respond to it.
   */
  private static final long UNREAD_MILLIS = 2_000;

  /**
   * Time after the acknowledgement of a change from which on no read may return an older version.
   */
  private static final long CONFIGURATION_APPLY_MILLIS = 2_500;

  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  private SoakChecker() {}

  /**
   * Returns all violations of the rules for requests, processes and configurations.
   *
   * @param incarnations process incarnations by name
   * @param runs number of executions of each request on any backend, by attempt id
   */
  static List<SoakViolation> check(
      Collection<RequestRecord> requests,
      Map<String, ProcessIncarnation> incarnations,
      Map<String, Integer> runs,
      List<ConfigurationRecord> configurations) {
    List<SoakViolation> violations = new ArrayList<>();
    for (RequestRecord request : requests) {
      checkRequest(request, incarnations.get(request.process()), runs, violations);
    }
    incarnations.values().forEach(incarnation -> checkIncarnation(incarnation, violations));
    configurations.stream()
        .filter(read -> read.kind() == Kind.READ)
        .forEach(read -> checkRead(read, configurations, violations));
    return violations;
  }

  /**
   * Checks that the limited tenant's requests, summed over all data planes, stay within the quota
   * in every window.
   */
  static List<SoakViolation> checkQuota(List<TenantRun> runs) {
    long worst = SoakQuota.maxWindowUnits(runs);
    double permitted = SoakQuota.permittedUnits();
    if (worst <= permitted) {
      return List.of();
    }
    String detail = worst + " units ran in a window, " + permitted + " are permitted";
    return List.of(new SoakViolation(Rule.QUOTA, 0, detail));
  }

  private static void checkRequest(
      RequestRecord request,
      ProcessIncarnation incarnation,
      Map<String, Integer> runs,
      List<SoakViolation> violations) {
    int ran = runs.getOrDefault(request.attemptId(), 0);
    if (ran > 1 && !request.kind().isRepeatable()) {
      violations.add(violation(Rule.RAN_TWICE, request, incarnation));
    }
    if (request.outcome() == Outcome.WRONG) {
      violations.add(violation(Rule.MIXED, request, incarnation));
    }
    boolean promised = request.outcome() == Outcome.COMPLETE && PROMISES.contains(request.status());
    if (promised && ran > 0 && !request.kind().isRepeatable()) {
      violations.add(violation(Rule.PROMISE, request, incarnation));
    }
    if (isLost(request, incarnation, ran)) {
      violations.add(violation(Rule.LOST, request, incarnation));
    }
  }

  private static boolean isLost(RequestRecord request, ProcessIncarnation incarnation, int ran) {
    boolean crossed =
        request.outcome() == Outcome.NO_RESPONSE
            && ran == 0
            && request.endMillis() - request.sentMillis() < UNREAD_MILLIS;
    return isUnanswered(request, incarnation) && !crossed;
  }

  /**
   * Returns whether the request got no complete response and neither a kill nor a shutdown of its
   * process excuses that.
   */
  private static boolean isUnanswered(RequestRecord request, ProcessIncarnation incarnation) {
    boolean incomplete =
        request.outcome() == Outcome.TRUNCATED || request.outcome() == Outcome.NO_RESPONSE;
    return incomplete
        && !incarnation.crashedBefore(request.endMillis())
        && !incarnation.mayTruncateResponse(request.sentMillis(), request.endMillis());
  }

  /**
   * Returns the requests without a response that are excused only because the data plane may have
   * closed the connection while the request was on its way.
   *
   * @param incarnations process incarnations by name
   */
  static List<RequestRecord> crossedByClose(
      Collection<RequestRecord> requests, Map<String, ProcessIncarnation> incarnations) {
    return requests.stream()
        .filter(request -> request.outcome() == Outcome.NO_RESPONSE)
        .filter(request -> isUnanswered(request, incarnations.get(request.process())))
        .toList();
  }

  private static SoakViolation violation(
      Rule rule, RequestRecord request, ProcessIncarnation incarnation) {
    return new SoakViolation(rule, request.endMillis(), request + " at " + incarnation);
  }

  private static void checkIncarnation(
      ProcessIncarnation incarnation, List<SoakViolation> violations) {
    if (incarnation.exitedUnexpectedly() || incarnation.exceededGracePeriod()) {
      violations.add(new SoakViolation(Rule.PROCESS, 0, incarnation.toString()));
    }
  }

  private static void checkRead(
      ConfigurationRecord read,
      List<ConfigurationRecord> configurations,
      List<SoakViolation> violations) {
    long newest = 0;
    boolean sent = false; // whether an operator sent this version with the same set of routes
    for (ConfigurationRecord change : configurations) {
      boolean acknowledged = change.kind() == Kind.ACKNOWLEDGED;
      if (acknowledged && change.endMillis() <= read.sentMillis() - CONFIGURATION_APPLY_MILLIS) {
        newest = Math.max(newest, change.version());
      }
      sent |=
          change.kind() != Kind.READ
              && change.version() == read.version()
              && hasOptionalRoute(change) == hasOptionalRoute(read);
    }
    if (read.version() < newest || !sent) {
      String detail = "read " + read.version() + " where " + newest + " was acknowledged";
      violations.add(new SoakViolation(Rule.CONFIGURATION, read.endMillis(), detail));
    }
  }

  private static boolean hasOptionalRoute(ConfigurationRecord record) {
    return record.body().contains(SoakConfiguration.OPTIONAL_ENTRIES);
  }
}
