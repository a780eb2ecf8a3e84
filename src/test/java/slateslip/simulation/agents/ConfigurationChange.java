package slateslip.simulation.agents;

import java.nio.charset.StandardCharsets;
import java.util.List;
import slateslip.configuration.FleetConfiguration;
import slateslip.configuration.Service;
import slateslip.distribution.peer.OperatorRequest;

/**
 * A change that an operator wants. Its configuration can be told from every other one: a service's
 * health path names its author and number.
 *
 * @param base version that it builds on
 * @param version its own
 * @param marker unlike that of every other order
 * @param valid whether the configuration is one
 * @param call as it is sent
 */
record ConfigurationChange(
    long base, long version, String marker, boolean valid, OperatorRequest call) {
  private static final String SERVICE = "pool";

  /** Where there are keys, data planes need a lease to serve them. */
  private static final String TENANT = "{\"name\":\"t\",\"api_keys\":[\"k\"]}";

  /** A complete configuration. */
  static ConfigurationChange complete(long base, long version, String marker) {
    String body =
        "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
            .formatted(version, route("first", "/first/"), service(marker), TENANT);
    return change(OperatorRequest.Method.PUT, base, version, marker, true, body);
  }

  /** A change of the service and one more route. */
  static ConfigurationChange patch(long base, long version, String marker) {
    String body =
        "{\"version\":%d,\"upsert\":{\"services\":[%s],\"routes\":[%s]}}"
            .formatted(version, service(marker), route("r-" + marker, "/" + marker + "/"));
    return change(OperatorRequest.Method.PATCH, base, version, marker, true, body);
  }

  /** A complete configuration with routes of about this many bytes in all. */
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

  /** A configuration whose route names a service that is not there. */
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

  /** The marker of the order that made a configuration. */
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
