package slateslip.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Indexes a configuration for look-ups. Immutable: a new configuration takes effect by replacing
 * the whole table.
 */
public final class RoutingTable {
  private final FleetConfiguration configuration;
  private final Map<String, List<IndexedRoute>> routesByHost = new HashMap<>();
  private final Map<String, List<IndexedRoute>> routesByCanonicalHost = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, Tenant> tenantsByKey = new HashMap<>();

  /** A route with the canonical form of its path prefix. */
  private record IndexedRoute(Route route, String canonicalPrefix) {}

  /** Indexes a valid configuration. */
  public RoutingTable(FleetConfiguration configuration) {
    this.configuration = configuration;
    for (Route route : configuration.routes()) {
      IndexedRoute indexed = new IndexedRoute(route, RequestPath.canonical(route.pathPrefix()));
      add(routesByHost, route.hostname(), indexed);
      add(routesByCanonicalHost, HostName.canonical(route.hostname()), indexed);
    }
    Comparator<IndexedRoute> longestFirst =
        Comparator.comparingInt((IndexedRoute route) -> route.canonicalPrefix().length())
            .reversed();
    routesByHost.values().forEach(routes -> routes.sort(longestFirst));
    routesByCanonicalHost.values().forEach(routes -> routes.sort(longestFirst));
    configuration.services().forEach(service -> services.put(service.name(), service));
    for (Tenant tenant : configuration.tenants()) {
      tenant.keys().forEach(key -> tenantsByKey.put(key, tenant));
    }
  }

  private static void add(Map<String, List<IndexedRoute>> byHost, String host, IndexedRoute route) {
    byHost.computeIfAbsent(host, name -> new ArrayList<>()).add(route);
  }

  /** Returns the version of the indexed configuration. */
  public long version() {
    return configuration.version();
  }

  /** Returns the indexed configuration. */
  public FleetConfiguration configuration() {
    return configuration;
  }

  /**
   * Returns the route of the host with the longest prefix of the path, or empty if no route
   * matches. Routes that match the host or the path exactly as written take precedence over routes
   * that match only in canonical form.
   */
  public Optional<Route> route(String host, String path) {
    Optional<Route> exact = longestMatch(routesByHost.getOrDefault(host, List.of()), path);
    if (exact.isPresent()) {
      return exact;
    }
    String canonicalHost = HostName.canonical(host);
    return longestMatch(routesByCanonicalHost.getOrDefault(canonicalHost, List.of()), path);
  }

  private static Optional<Route> longestMatch(List<IndexedRoute> longestFirst, String path) {
    String canonicalPath = RequestPath.canonical(path);
    IndexedRoute match = null;
    for (IndexedRoute route : longestFirst) {
      if (match != null && !route.canonicalPrefix().equals(match.canonicalPrefix())) {
        continue;
      }
      if (!canonicalPath.startsWith(route.canonicalPrefix())) {
        continue;
      }
      if (path.startsWith(route.route().pathPrefix())) {
        return Optional.of(route.route());
      }
      match = match == null ? route : match;
    }
    return Optional.ofNullable(match).map(IndexedRoute::route);
  }

  /** Returns the service of a name, or empty if there is none. */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the tenant that an API key belongs to, or empty if the key is unknown. */
  public Optional<Tenant> tenantByKey(String key) {
    return Optional.ofNullable(tenantsByKey.get(key));
  }

  /**
   * Returns whether requests to routes that are not public need an API key, which is so if there
   * are tenants.
   */
  public boolean requiresKeys() {
    return !configuration.tenants().isEmpty();
  }
}
