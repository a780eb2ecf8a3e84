package slateslip.routing;

import java.util.Optional;
import slateslip.configuration.Route;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Tenant;
import slateslip.routing.quota.TenantQuotas;

/** Whether a request is let in: by its route, its key and its tenant's quota. */
final class Admission {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Least and most that a client over its quota is asked to wait. */
  private static final long MIN_QUOTA_WAIT_MICROS = 100_000;

  private static final long MAX_QUOTA_WAIT_MICROS = 2_000_000;

  /** The outcome: a request to be served, or the response that ends it. */
  sealed interface Verdict {
    /** To be served. */
    record Admitted(PendingRequest request) implements Verdict {}

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
    long units = 0;
    if (tenant != null) {
      units = TenantQuotas.units(tenant, attributes.promptTokens(), attributes.outputTokens());
      if (!quotas.take(tenant, units, nowMicros)) {
        long wait = quotas.waitMicros(tenant, units, nowMicros);
        return refused(
            arrived, 429, Math.min(MAX_QUOTA_WAIT_MICROS, Math.max(MIN_QUOTA_WAIT_MICROS, wait)));
      }
    }
    return new Verdict.Admitted(
        new PendingRequest(
            arrived,
            route.get(),
            tenant,
            units,
            nowMicros,
            end(nowMicros, route.get(), attributes)));
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
