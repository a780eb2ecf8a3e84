package slateslip.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of a configuration document. Immutable; each change of one part returns a new instance.
 *
 * @param version configuration version; 0 if the document has none
 * @param routes null if the document has none
 * @param services null if the document has none
 * @param tenants null if the document has none
 * @param limits limits of client connections; the defaults if the document has none
 * @param limitsJson JSON of the limits as it was sent; null if the document has none
 * @param others JSON, as it was sent, of each part that is unknown to this program version, by
 *     field name
 */
record DocumentParts(
    long version,
    NamedItems<Route> routes,
    NamedItems<Service> services,
    NamedItems<Tenant> tenants,
    IngressLimits limits,
    byte[] limitsJson,
    Map<String, byte[]> others) {

  static final String VERSION = "version";
  static final String ROUTES = "routes";
  static final String SERVICES = "services";
  static final String TENANTS = "tenants";
  static final String LIMITS = "limits";

  private static final RouteFormat ROUTE = new RouteFormat();
  private static final ServiceFormat SERVICE = new ServiceFormat();
  private static final TenantFormat TENANT = new TenantFormat();
  private static final NameOnlyItemFormat NAME_ONLY = new NameOnlyItemFormat();

  static final DocumentParts EMPTY =
      new DocumentParts(0, null, null, null, IngressLimits.DEFAULT, null, Map.of());

  /** Returns a copy with one part replaced as a whole. */
  DocumentParts replaced(String field, JsonSlice value, ValidationErrors problems) {
    return switch (field) {
      case VERSION -> withVersion(VersionNumber.read(value, problems));
      case ROUTES -> withRoutes(NamedItems.empty(ROUTES, ROUTE).with(value, problems));
      case SERVICES -> withServices(NamedItems.empty(SERVICES, SERVICE).with(value, problems));
      case TENANTS -> withTenants(NamedItems.empty(TENANTS, TENANT).with(value, problems));
      case LIMITS -> withLimits(value, problems);
      default -> withOther(field, value.toBytes());
    };
  }

  /**
   * Returns a copy with items added to a list. An added item replaces an existing item of the same
   * name.
   */
  DocumentParts upserted(String field, JsonSlice items, ValidationErrors problems) {
    return switch (field) {
      case ROUTES -> withRoutes(routes.with(items, problems));
      case SERVICES -> withServices(services.with(items, problems));
      case TENANTS -> withTenants(tenantsOrEmpty().with(items, problems));
      case LIMITS -> withLimits(items, problems);
      default -> withOther(field, unknownList(field, problems).with(items, problems).toJson());
    };
  }

  /** Returns a copy without the items of the given names. Names that do not occur are ignored. */
  DocumentParts removed(String field, List<String> names, ValidationErrors problems) {
    return switch (field) {
      case ROUTES -> withRoutes(routes.without(names));
      case SERVICES -> withServices(services.without(names));
      case TENANTS -> withTenants(tenantsOrEmpty().without(names));
      default -> removedFromUnknownList(field, names, problems);
    };
  }

  /** Returns a copy with another version. */
  DocumentParts withVersion(long changed) {
    return new DocumentParts(changed, routes, services, tenants, limits, limitsJson, others);
  }

  /** Returns a copy in which missing lists of routes and services are empty lists. */
  DocumentParts withMissingLists() {
    DocumentParts withRoutes = routes == null ? withRoutes(NamedItems.empty(ROUTES, ROUTE)) : this;
    return services == null
        ? withRoutes.withServices(NamedItems.empty(SERVICES, SERVICE))
        : withRoutes;
  }

  private NamedItems<Tenant> tenantsOrEmpty() {
    return tenants == null ? NamedItems.empty(TENANTS, TENANT) : tenants;
  }

  private DocumentParts removedFromUnknownList(
      String field, List<String> names, ValidationErrors problems) {
    if (!others.containsKey(field)) {
      return this;
    }
    return withOther(field, unknownList(field, problems).without(names).toJson());
  }

  private NamedItems<String> unknownList(String field, ValidationErrors problems) {
    NamedItems<String> none = NamedItems.empty(field, NAME_ONLY);
    byte[] json = others.get(field);
    return json == null ? none : none.with(JsonSlice.ofDocument(json), problems);
  }

  private DocumentParts withLimits(JsonSlice value, ValidationErrors problems) {
    if (!value.isObject()) {
      problems.report(LIMITS, "is not an object");
      return this;
    }
    byte[] json = value.toBytes();
    ValidationErrors limitsProblems = new ValidationErrors();
    IngressLimits read = readLimits(json, limitsProblems);
    problems.reportAll(LIMITS + ":", limitsProblems);
    return new DocumentParts(version, routes, services, tenants, read, json, others);
  }

  private static IngressLimits readLimits(byte[] json, ValidationErrors problems) {
    try (FieldReader fields = new FieldReader(json, problems)) {
      fields.beginObject();
      return LimitsFormat.read(fields);
    }
  }

  private DocumentParts withRoutes(NamedItems<Route> changed) {
    return new DocumentParts(version, changed, services, tenants, limits, limitsJson, others);
  }

  private DocumentParts withServices(NamedItems<Service> changed) {
    return new DocumentParts(version, routes, changed, tenants, limits, limitsJson, others);
  }

  private DocumentParts withTenants(NamedItems<Tenant> changed) {
    return new DocumentParts(version, routes, services, changed, limits, limitsJson, others);
  }

  private DocumentParts withOther(String field, byte[] json) {
    Map<String, byte[]> changed = new LinkedHashMap<>(others);
    changed.put(field, json);
    return new DocumentParts(version, routes, services, tenants, limits, limitsJson, changed);
  }
}
