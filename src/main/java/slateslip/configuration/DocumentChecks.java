package slateslip.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Validation rules that span several parts of a configuration document. */
final class DocumentChecks {
  private DocumentChecks() {}

  private record RouteAddress(String hostname, String pathPrefix) {}

  /**
   * Returns the first violated rule, with the item and the field that it concerns, or null if the
   * document is valid.
   */
  static String findProblem(DocumentParts parts, long currentVersion) {
    if (parts.version() <= currentVersion) {
      return "version " + parts.version() + " is not above the current one, " + currentVersion;
    }
    if (parts.routes() == null) {
      return "routes is missing";
    }
    if (parts.services() == null) {
      return "services is missing";
    }
    List<Route> routes = parts.routes().values();
    String problem = findUnknownService(routes, parts.services().values());
    if (problem == null) {
      problem = findDuplicateAddress(routes);
    }
    if (problem == null && parts.tenants() != null) {
      problem = findSharedKey(parts.tenants().values());
    }
    return problem;
  }

  private static String findUnknownService(List<Route> routes, List<Service> services) {
    Set<String> names = new HashSet<>();
    services.forEach(service -> names.add(service.name()));
    for (Route route : routes) {
      for (Route.WeightedService target : route.targets()) {
        if (!names.contains(target.service())) {
          return prefix(route) + "service \"" + target.service() + "\" is unknown";
        }
      }
    }
    return null;
  }

  private static String findDuplicateAddress(List<Route> routes) {
    Map<RouteAddress, Route> byAddress = new HashMap<>();
    for (Route route : routes) {
      RouteAddress address = new RouteAddress(route.hostname(), route.pathPrefix());
      Route other = byAddress.put(address, route);
      if (other != null) {
        return prefix(route)
            + "hostname and path_prefix are those of route \""
            + other.name()
            + "\"";
      }
    }
    return null;
  }

  private static String findSharedKey(List<Tenant> tenants) {
    Map<String, Tenant> byKey = new HashMap<>();
    for (Tenant tenant : tenants) {
      for (String key : tenant.keys()) {
        Tenant other = byKey.put(key, tenant);
        if (other != null && !other.name().equals(tenant.name())) {
          return "tenants \""
              + tenant.name()
              + "\": api_keys shares a key with \""
              + other.name()
              + "\"";
        }
      }
    }
    return null;
  }

  private static String prefix(Route route) {
    return "routes \"" + route.name() + "\": ";
  }
}
