package slateslip.routing;

import java.util.List;
import slateslip.configuration.FleetConfiguration;
import slateslip.configuration.IngressLimits;
import slateslip.configuration.Route;
import slateslip.configuration.Route.WeightedService;
import slateslip.configuration.RouteKind;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Service;
import slateslip.configuration.Tenant;
import slateslip.distribution.BackendSession;
import slateslip.routing.RequestAttributes.PromptPart;

/** Configurations, backends and requests for routing tests. */
public final class Fixtures {
  static final String HOST = "a.example";
  static final String KEY = "key-1";
  static final String MODEL_SERVICE = "model";
  static final String LOG_SERVICE = "ledger";

  /** A model service, configured as in the small deployments. */
  public static final Service MODEL =
      new Service(MODEL_SERVICE, "/health", 360, new Service.Engine(64, 577_468, 5));

  /** A service without a model engine. */
  public static final Service LOG = new Service(LOG_SERVICE, "/health", 96, null);

  static final Tenant TENANT = new Tenant("t", List.of(KEY), 1, true, 200, 0, 0);

  private Fixtures() {}

  static Route route(
      String prefix, RouteKind kind, String service, int maxAttempts, boolean resumable) {
    return new Route(
        "r" + prefix,
        HOST,
        prefix,
        kind,
        8_000,
        600,
        0,
        List.of(new WeightedService(service, 1)),
        maxAttempts,
        false,
        kind == RouteKind.STREAMING,
        resumable,
        400);
  }

  static RoutingTable table(long version, Tenant tenant, Route... routes) {
    return new RoutingTable(
        new FleetConfiguration(
            version, List.of(routes), List.of(MODEL, LOG), IngressLimits.DEFAULT, List.of(tenant)));
  }

  /**
   * Returns a table with resumable streams at /s/, streams that cannot be resumed at /n/,
   * non-idempotent requests at /w/ and idempotent requests at /i/.
   */
  static RoutingTable table() {
    return table(
        1,
        TENANT,
        route("/s/", RouteKind.STREAMING, MODEL_SERVICE, 2, true),
        route("/n/", RouteKind.STREAMING, MODEL_SERVICE, 1, false),
        route("/w/", RouteKind.NON_IDEMPOTENT, LOG_SERVICE, 2, false),
        route("/i/", RouteKind.IDEMPOTENT, LOG_SERVICE, 2, false));
  }

  /** Returns the registration of a backend that is ready and has 64 slots. */
  public static BackendSession backend(String id, String service, String zone) {
    return new BackendSession(id, service, "10.0.0.1:80", zone, "v1", 64, false, 0, 1);
  }

  static BackendSession draining(BackendSession session) {
    return new BackendSession(
        session.id(),
        session.service(),
        session.address(),
        session.zone(),
        session.version(),
        session.slots(),
        true,
        0,
        session.sequence() + 1);
  }

  static RequestAttributes attributes(String path) {
    return attributes(path, KEY, List.of());
  }

  static RequestAttributes attributes(String path, String key, List<PromptPart> prompt) {
    long tokens = prompt.stream().mapToLong(PromptPart::tokens).sum();
    return new RequestAttributes(
        "id", HOST, path, key, 8_000, prompt.isEmpty() ? -1 : tokens, 100, prompt, -1, "m", 800);
  }
}
