package slateslip.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of a document, changed one by one.
 *
 * @param version 0 if it was not given
 * @param routes null if they were not given
 * @param services null if they were not given
 * @param tenants null if they were not given
 * @param limits defaults if they were not given
 * @param limitsJson as sent; null if they were not given
 * @param others JSON as sent of each part that this program does not know
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
  private static final UnreadItemFormat UNREAD = new UnreadItemFormat();

  static final DocumentParts NONE =
      new DocumentParts(0, null, null, null, IngressLimits.DEFAULT, null, Map.of());

  /** With one part replaced as a whole. */
  DocumentParts replaced(String field, JsonSlice value, ValidationErrors problems) {
    return switch (field) {
      case VERSION -> withVersion(VersionNumber.read(value, problems));
      case ROUTES -> withRoutes(NamedItems.none(ROUTES, ROUTE).with(value, problems));
      case SERVICES -> withServices(NamedItems.none(SERVICES, SERVICE).with(value, problems));
      case TENANTS -> withTenants(NamedItems.none(TENANTS, TENANT).with(value, problems));
      case LIMITS -> withLimits(value, problems);
      default -> withOther(field, value.toBytes());
    };
  }

  /** With items added to a list, or put in the place of those of their name. */
  DocumentParts upserted(String field, JsonSlice items, ValidationErrors problems) {
    return switch (field) {
      case ROUTES -> withRoutes(routes.with(items, problems));
      case SERVICES -> withServices(services.with(items, problems));
      case TENANTS -> withTenants(tenantsOrNone().with(items, problems));
      case LIMITS -> withLimits(items, problems);
      default -> withOther(field, unread(field, problems).with(items, problems).toJson());
    };
  }

  /** Without the items of these names. */
  DocumentParts removed(String field, List<String> names, ValidationErrors problems) {
    return switch (field) {
      case ROUTES -> withRoutes(routes.without(names));
      case SERVICES -> withServices(services.without(names));
      case TENANTS -> withTenants(tenantsOrNone().without(names));
      default -> removedUnread(field, names, problems);
    };
  }

  /** With another version. */
  DocumentParts withVersion(long changed) {
    return new DocumentParts(changed, routes, services, tenants, limits, limitsJson, others);
  }

  /** With empty lists of routes and services where they were not given. */
  DocumentParts withMissingLists() {
    DocumentParts withRoutes = routes == null ? withRoutes(NamedItems.none(ROUTES, ROUTE)) : this;
    return services == null
        ? withRoutes.withServices(NamedItems.none(SERVICES, SERVICE))
        : withRoutes;
  }

  private NamedItems<Tenant> tenantsOrNone() {
    return tenants == null ? NamedItems.none(TENANTS, TENANT) : tenants;
  }

  private DocumentParts removedUnread(String field, List<String> names, ValidationErrors problems) {
    if (!others.containsKey(field)) {
      return this;
    }
    return withOther(field, unread(field, problems).without(names).toJson());
  }

  private NamedItems<String> unread(String field, ValidationErrors problems) {
    NamedItems<String> none = NamedItems.none(field, UNREAD);
    byte[] json = others.get(field);
    return json == null ? none : none.with(JsonSlice.ofDocument(json), problems);
  }

  private DocumentParts withLimits(JsonSlice value, ValidationErrors problems) {
    if (!value.isObject()) {
      problems.report(LIMITS, "is not an object");
      return this;
    }
    byte[] json = value.toBytes();
    ValidationErrors ofLimits = new ValidationErrors();
    IngressLimits read = readLimits(json, ofLimits);
    problems.reportAll(LIMITS + ":", ofLimits);
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
