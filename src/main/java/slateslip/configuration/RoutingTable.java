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
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, Tenant> tenantsByKey = new HashMap<>();

  /** Indexes a valid configuration. */
  public RoutingTable(FleetConfiguration configuration) {
    this.configuration = configuration;
    for (Route route : configuration.routes()) {
      routesByHost.computeIfAbsent(route.hostname(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(routes -> routes.sort(longestFirst));
    configuration.services().forEach(service -> services.put(service.name(), service));
    for (Tenant tenant : configuration.tenants()) {
      tenant.keys().forEach(key -> tenantsByKey.put(key, tenant));
    }
  }

  /** Version of the configuration. */
  public long version() {
    return configuration.version();
  }

  /** The configuration that is indexed. */
  public FleetConfiguration configuration() {
    return configuration;
  }

  /** The route of this host with the longest prefix that begins the path, if any. */
  public Optional<Route> route(String host, String path) {
    for (Route route : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
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
