package slateslip.simulation.agents;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.configuration.FleetConfiguration;
import slateslip.configuration.Service;
import slateslip.distribution.peer.OperatorRequest;

/**
 * A configuration change that an operator sends. The health path of a service contains the marker
 * of the change, so that every configuration can be traced to the change that produced it.
 *
 * @param base the version on which the change is based
 * @param version the version after the change
 * @param marker a text that differs from the marker of every other change
 * @param valid whether the configuration after the change is valid
 * @param call the request that an operator sends
 */
record ConfigurationChange(
    long base, long version, String marker, boolean valid, OperatorRequest call) {
  private static final String SERVICE = "pool";
  private static final int DRAWN_NAME_LENGTH = 400;

  /** A tenant with an API key, because a data plane needs a key lease only to serve API keys. */
  private static final String TENANT = "{\"name\":\"t\",\"api_keys\":[\"k\"]}";

  /** Returns a change that replaces the complete configuration. */
  static ConfigurationChange complete(long base, long version, String marker) {
    String body =
        "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
            .formatted(version, route("first", "/first/"), service(marker), TENANT);
    return change(OperatorRequest.Method.PUT, base, version, marker, true, body);
  }

  /** Returns a change that replaces the service and adds one route. */
  static ConfigurationChange patch(long base, long version, String marker) {
    String body =
        "{\"version\":%d,\"upsert\":{\"services\":[%s],\"routes\":[%s]}}"
            .formatted(version, service(marker), route("r-" + marker, "/" + marker + "/"));
    return change(OperatorRequest.Method.PATCH, base, version, marker, true, body);
  }

  /**
   * Returns a change that replaces the complete configuration; its routes have about the given
   * size.
   */
  static ConfigurationChange large(long base, long version, String marker, int bytes) {
    StringBuilder routes = new StringBuilder(route("first", "/first/"));
    for (int number = 0; routes.length() < bytes; number++) {
      routes.append(',').append(route("n" + number, "/n" + number + "/"));
    }
    String body =
        "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
            .formatted(version, routes, service(marker), TENANT);
    return change(OperatorRequest.Method.PUT, base, version, marker, true, body);
  }

  /**
   * Returns a change that replaces the complete configuration by routes of about the given size
   * that have drawn names, so that they hardly compress and differ from those of any other change.
   */
  static ConfigurationChange incompressible(
      long base, long version, String marker, int bytes, SplittableRandom random) {
    String body =
        "{\"version\":%d,\"routes\":[%s,%s],\"services\":[%s],\"tenants\":[%s]}"
            .formatted(
                version,
                route("first", "/first/"),
                drawnRoutes(bytes, random),
                service(marker),
                TENANT);
    return change(OperatorRequest.Method.PUT, base, version, marker, true, body);
  }

  /**
   * Returns a change that replaces the service and adds routes of about the given size that have
   * drawn names, so that they hardly compress.
   */
  static ConfigurationChange growth(
      long base, long version, String marker, int bytes, SplittableRandom random) {
    String body =
        "{\"version\":%d,\"upsert\":{\"services\":[%s],\"routes\":[%s]}}"
            .formatted(version, service(marker), drawnRoutes(bytes, random));
    return change(OperatorRequest.Method.PATCH, base, version, marker, true, body);
  }

  /** Returns at least one route, and routes of about the given size in bytes. */
  private static String drawnRoutes(int bytes, SplittableRandom random) {
    List<String> routes = new ArrayList<>();
    int length = 0;
    do {
      String name = drawnName(random);
      routes.add(route(name, "/" + name + "/"));
      length += routes.get(routes.size() - 1).length() + 1;
    } while (length < bytes);
    return String.join(",", routes);
  }

  private static String drawnName(SplittableRandom random) {
    StringBuilder name = new StringBuilder();
    while (name.length() < DRAWN_NAME_LENGTH) {
      name.append(Long.toString(random.nextLong(Long.MAX_VALUE), Character.MAX_RADIX));
    }
    return name.toString();
  }

  /** Returns an invalid change, whose route refers to a service that does not exist. */
  static ConfigurationChange invalid(long base, long version, String marker) {
    String body =
        "{\"version\":%d,\"routes\":[%s],\"services\":[]}"
            .formatted(version, route("first", "/first/"));
    return change(OperatorRequest.Method.PUT, base, version, marker, false, body);
  }

  private static ConfigurationChange change(
      OperatorRequest.Method method,
      long base,
      long version,
      String marker,
      boolean valid,
      String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return new ConfigurationChange(
        base, version, marker, valid, new OperatorRequest(method, base, bytes));
  }

  private static String service(String marker) {
    return "{\"name\":\"%s\",\"health_path\":\"/%s\"}".formatted(SERVICE, marker);
  }

  private static String route(String name, String prefix) {
    return ("{\"name\":\"%s\",\"hostname\":\"h\",\"path_prefix\":\"%s\",\"timeout_ms\":1000,"
            + "\"service\":\"%s\"}")
        .formatted(name, prefix, SERVICE);
  }

  /** Returns the marker of the change that produced a configuration. */
  static String markerOf(FleetConfiguration configuration) {
    List<Service> services = configuration.services();
    return services.get(0).healthPath().substring(1);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ConfigurationChange change
        && marker.equals(change.marker)
        && base == change.base
        && version == change.version
        && call.method() == change.call.method();
  }

  @Override
  public int hashCode() {
    return marker.hashCode();
  }

  @Override
  public String toString() {
    return marker + " (" + call.method() + " " + base + " -> " + version + ")";
  }
}
