package slateslip.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A configuration indexed for look-ups; immutable, so that a complete one is swapped in at once.
 */
public final class RoutingTable {
  private final FleetConfiguration configuration;
  private final Map<String, List<IndexedRoute>> routesByHost = new HashMap<>();
  private final Map<String, List<IndexedRoute>> routesByCanonicalHost = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, Tenant> tenantsByKey = new HashMap<>();

  /** A route beside the one form of its path prefix. */
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

  /** Version of the configuration. */
  public long version() {
    return configuration.version();
  }

  /** The configuration that is indexed. */
  public FleetConfiguration configuration() {
    return configuration;
  }

  /**
   * The route of this host with the longest prefix that begins the path, if any. Routes that have
   * the host or the path just as it stands go before those that mean the same by another spelling.
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

  /** The service of this name, if any. */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** The tenant that holds this key, if any. */
  public Optional<Tenant> tenantByKey(String key) {
    return Optional.ofNullable(tenantsByKey.get(key));
  }

  /** Whether routes that are not public need a key. */
  public boolean needsKeys() {
    return !configuration.tenants().isEmpty();
  }
}
