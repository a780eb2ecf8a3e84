package slateslip.routing;

import java.util.Optional;
import slateslip.configuration.HeaderText;
import slateslip.configuration.Route;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Tenant;
import slateslip.routing.quota.QuotaDecision;
import slateslip.routing.quota.QuotaWait;
import slateslip.routing.quota.TenantQuotas;

/** Admits or refuses requests by their route, their API key and their tenant's quota. */
final class Admission {
  private static final long MICROS_PER_MILLI = 1_000;

  /** The result of an admission check: a request to serve, or the response that refuses it. */
  sealed interface Decision {
    /** The request can be sent to a backend now. */
    record Admitted(PendingRequest request) implements Decision {}

    /** The request waits until its tenant's quota has capacity for it. */
    record Waiting(PendingRequest request, QuotaWait quotaWait) implements Decision {}

    /** The request is refused with this response. */
    record Refused(RouterOutput.Respond respond) implements Decision {}
  }

  private final TenantQuotas quotas;
  private final KeyLease keyLease;
  private final long retryMicros;

  /**
   * Creates an admission check.
   *
   * @param retryMicros after how many microseconds clients are asked to retry requests that arrive
   *     before this data plane has a configuration or a key lease
   */
  Admission(TenantQuotas quotas, KeyLease keyLease, long retryMicros) {
    this.quotas = quotas;
    this.retryMicros = retryMicros;
    this.keyLease = keyLease;
  }

  /**
   * Checks a request that has arrived.
   *
   * @param table the current configuration; null if there is none yet
   */
  Decision admit(long nowMicros, RoutingTable table, RouterInput.RequestArrived arrived) {
    if (table == null) {
      return refused(arrived, 503, retryMicros);
    }
    RequestAttributes attributes = arrived.attributes();
    Optional<Route> route = table.route(attributes.host(), attributes.path());
    if (route.isEmpty()) {
      return refused(arrived, 404, 0);
    }
    boolean needsKey = table.requiresKeys() && !route.get().isPublic();
    if (needsKey && !keyLease.isHeld(nowMicros)) {
      return refused(arrived, 503, retryMicros);
    }
    Tenant tenant = tenant(table, attributes);
    if (tenant == null && needsKey) {
      return refused(arrived, 401, 0);
    }
    if (tenant != null && !HeaderText.canCarry(tenant.name())) {
      // The tenant's name cannot be sent to a backend in the X-Tenant header.
      return refused(arrived, 503, retryMicros);
    }
    return checkQuota(nowMicros, arrived, route.get(), tenant);
  }

  private Decision checkQuota(
      long nowMicros, RouterInput.RequestArrived arrived, Route route, Tenant tenant) {
    RequestAttributes attributes = arrived.attributes();
    long deadlineMicros = deadlineMicros(nowMicros, route, attributes);
    if (tenant == null) {
      return new Decision.Admitted(
          new PendingRequest(arrived, route, null, 0, nowMicros, deadlineMicros));
    }
    long units = TenantQuotas.units(tenant, attributes.promptTokens(), attributes.outputTokens());
    PendingRequest request =
        new PendingRequest(arrived, route, tenant, units, nowMicros, deadlineMicros);
    QuotaDecision decision = quotas.request(tenant, units, nowMicros);
    if (decision instanceof QuotaDecision.Refused refused) {
      return refused(arrived, 429, refused.retryAfterMicros());
    }
    if (decision instanceof QuotaDecision.Waiting waiting) {
      return new Decision.Waiting(request, waiting.quotaWait());
    }
    request.addCharge(((QuotaDecision.Admitted) decision).charge());
    return new Decision.Admitted(request);
  }

  /**
   * Returns whether a configuration still permits the key of a pending request to use a route. The
   * check precedes every attempt.
   */
  static boolean isStillAllowed(RoutingTable table, Route route, PendingRequest request) {
    if (request.tenant == null) {
      return route.isPublic() || !table.requiresKeys();
    }
    Tenant currentTenant = tenant(table, request.attributes);
    return currentTenant != null && currentTenant.name().equals(request.tenant.name());
  }

  private static Tenant tenant(RoutingTable table, RequestAttributes attributes) {
    return attributes.credential() == null
        ? null
        : table.tenantByKey(attributes.credential()).orElse(null);
  }

  private static long deadlineMicros(long nowMicros, Route route, RequestAttributes attributes) {
    long millis = route.timeoutMillis();
    if (attributes.deadlineMillis() > 0) {
      millis = Math.min(millis, attributes.deadlineMillis());
    }
    return nowMicros + millis * MICROS_PER_MILLI;
  }

  private static Decision refused(
      RouterInput.RequestArrived arrived, int status, long retryAfterMicros) {
    return new Decision.Refused(
        new RouterOutput.Respond(arrived.request(), status, retryAfterMicros));
  }
}
