package slateslip.routing;

import java.util.Optional;
import slateslip.configuration.HeaderText;
import slateslip.configuration.Route;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Tenant;
import slateslip.routing.quota.QuotaDecision;
import slateslip.routing.quota.QuotaWait;
import slateslip.routing.quota.TenantQuotas;

/** Whether a request is let in: by its route, its key and its tenant's quota. */
final class Admission {
  private static final long MICROS_PER_MILLI = 1_000;

  /** The outcome: a request to be served, or the response that ends it. */
  sealed interface Verdict {
    /** To be served. */
    record Admitted(PendingRequest request) implements Verdict {}

    /** To be served once its tenant's quota has room for it. */
    record Waiting(PendingRequest request, QuotaWait quotaWait) implements Verdict {}

    /** Ended. */
    record Refused(RouterOutput.Respond respond) implements Verdict {}
  }

  private final TenantQuotas quotas;
  private final KeyLease keyLease;
  private final long retryMicros;

  /**
   * Judges requests.
   *
   * @param retryMicros when a client is asked to come back while nothing is known yet
   */
  Admission(TenantQuotas quotas, KeyLease keyLease, long retryMicros) {
    this.quotas = quotas;
    this.retryMicros = retryMicros;
    this.keyLease = keyLease;
  }

  /** Judges a request by a configuration; null if there is none yet. */
  Verdict judge(long nowMicros, RoutingTable table, RouterInput.RequestArrived arrived) {
    if (table == null) {
      return refused(arrived, 503, retryMicros);
    }
    RequestAttributes attributes = arrived.attributes();
    Optional<Route> route = table.route(attributes.host(), attributes.path());
    if (route.isEmpty()) {
      return refused(arrived, 404, 0);
    }
    boolean needsKey = table.needsKeys() && !route.get().isPublic();
    if (needsKey && !keyLease.isHeld(nowMicros)) {
      return refused(arrived, 503, retryMicros);
    }
    Tenant tenant = tenant(table, attributes);
    if (tenant == null && needsKey) {
      return refused(arrived, 401, 0);
    }
    if (tenant != null && !HeaderText.fits(tenant.name())) {
      return refused(arrived, 503, retryMicros); // no backend could be told whose it is
    }
    return judgeByQuota(nowMicros, arrived, route.get(), tenant);
  }

  private Verdict judgeByQuota(
      long nowMicros, RouterInput.RequestArrived arrived, Route route, Tenant tenant) {
    RequestAttributes attributes = arrived.attributes();
    long endMicros = end(nowMicros, route, attributes);
    if (tenant == null) {
      return new Verdict.Admitted(
          new PendingRequest(arrived, route, null, 0, nowMicros, endMicros));
    }
    long units = TenantQuotas.units(tenant, attributes.promptTokens(), attributes.outputTokens());
    PendingRequest request =
        new PendingRequest(arrived, route, tenant, units, nowMicros, endMicros);
    QuotaDecision decision = quotas.request(tenant, units, nowMicros);
    if (decision instanceof QuotaDecision.Refused over) {
      return refused(arrived, 429, over.retryAfterMicros());
    }
    if (decision instanceof QuotaDecision.Waiting waiting) {
      return new Verdict.Waiting(request, waiting.quotaWait());
    }
    request.addCharge(((QuotaDecision.Admitted) decision).charge());
    return new Verdict.Admitted(request);
  }

  /** Whether a configuration still lets a request's key use a route, as before it is sent again. */
  static boolean stillAllowed(RoutingTable table, Route route, PendingRequest request) {
    if (request.tenant == null) {
      return route.isPublic() || !table.needsKeys();
    }
    Tenant now = tenant(table, request.attributes);
    return now != null && now.name().equals(request.tenant.name());
  }

  private static Tenant tenant(RoutingTable table, RequestAttributes attributes) {
    return attributes.credential() == null
        ? null
        : table.tenantByKey(attributes.credential()).orElse(null);
  }

  private static long end(long nowMicros, Route route, RequestAttributes attributes) {
    long millis = route.timeoutMillis();
    if (attributes.deadlineMillis() > 0) {
      millis = Math.min(millis, attributes.deadlineMillis());
    }
    return nowMicros + millis * MICROS_PER_MILLI;
  }

  private static Verdict refused(
      RouterInput.RequestArrived arrived, int status, long retryAfterMicros) {
    return new Verdict.Refused(
        new RouterOutput.Respond(arrived.request(), status, retryAfterMicros));
  }
}
