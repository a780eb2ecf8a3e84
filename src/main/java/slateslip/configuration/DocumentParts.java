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
    String limitsJson,
    Map<String, String> others) {

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

  /** With one part replaced by the value that stands next at the reader. */
  DocumentParts replaced(String field, FieldReader source) {
    return switch (field) {
      case VERSION -> replacedVersion(VersionNumber.read(source));
      case ROUTES -> withRoutes(NamedItems.none(ROUTES, ROUTE).with(source));
      case SERVICES -> withServices(NamedItems.none(SERVICES, SERVICE).with(source));
      case TENANTS -> withTenants(NamedItems.none(TENANTS, TENANT).with(source));
      case LIMITS -> withLimits(source.raw(), source);
      default -> withOther(field, source.raw());
    };
  }

  /** With another version. */
  DocumentParts replacedVersion(long changed) {
    return new DocumentParts(changed, routes, services, tenants, limits, limitsJson, others);
  }

  /** With the items that stand next at the reader added to a list, or replaced in it. */
  DocumentParts upserted(String field, FieldReader source) {
    return switch (field) {
      case ROUTES -> withRoutes(routes.with(source));
      case SERVICES -> withServices(services.with(source));
      case TENANTS -> withTenants(tenantsOrNone().with(source));
      default -> upsertedUnread(field, source);
    };
  }

  /** Without the items of these names. */
  DocumentParts removed(String field, List<String> names, FieldReader problems) {
    return switch (field) {
      case ROUTES -> withRoutes(routes.without(names));
      case SERVICES -> withServices(services.without(names));
      case TENANTS -> withTenants(tenantsOrNone().without(names));
      default -> others.containsKey(field) ? removedUnread(field, names, problems) : this;
    };
  }

  private NamedItems<Tenant> tenantsOrNone() {
    return tenants == null ? NamedItems.none(TENANTS, TENANT) : tenants;
  }

  private DocumentParts upsertedUnread(String field, FieldReader source) {
    NamedItems<String> items = unread(field, source);
    return withOther(field, items.with(source).json());
  }

  private DocumentParts removedUnread(String field, List<String> names, FieldReader problems) {
    return withOther(field, unread(field, problems).without(names).json());
  }

  private NamedItems<String> unread(String field, FieldReader problems) {
    NamedItems<String> none = NamedItems.none(field, UNREAD);
    String json = others.get(field);
    if (json == null) {
      return none;
    }
    if (!json.startsWith("[")) {
      problems.report(field, "is not a list");
      return none;
    }
    try (FieldReader current = new FieldReader(json)) {
      NamedItems<String> items = none.with(current);
      if (current.problem() != null) {
        problems.report(field, "cannot be changed by name: " + current.problem());
      }
      return items;
    }
  }

  /** With these limits, given as JSON. */
  DocumentParts withLimits(String json, FieldReader problems) {
    if (json.equals(FieldReader.NULL)) {
      return this;
    }
    if (!json.startsWith("{")) {
      problems.report(LIMITS, "is not an object");
      return this;
    }
    try (FieldReader fields = new FieldReader(json)) {
      fields.beginObject();
      IngressLimits read = LimitsFormat.read(fields);
      if (fields.problem() != null) {
        problems.report(LIMITS + ":", fields.problem());
      }
      return new DocumentParts(version, routes, services, tenants, read, json, others);
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

  private DocumentParts withOther(String field, String json) {
    Map<String, String> changed = new LinkedHashMap<>(others);
    changed.put(field, json);
    return new DocumentParts(version, routes, services, tenants, limits, limitsJson, changed);
  }
}
