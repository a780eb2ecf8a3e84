package slateslip.configuration;

import java.util.List;

/**
 * A route of the operator's configuration: maps requests of a host and path prefix to services.
 *
 * @param name unique name of the route
 * @param hostname host of the requests, compared with the {@code Host} header
 * @param pathPrefix prefix of the request paths; starts and ends with a slash
 * @param kind determines which requests may be sent again
 * @param timeoutMillis maximum time that a request may be in progress
 * @param targetLatencyMillis target for the time until the first event or the complete response; a
 *     response within this time counts as in time
 * @param priority priority class; 0 is the highest
 * @param targets services with their weights; at least one
 * @param maxAttempts maximum number of backends that one client request may be sent to
 * @param isPublic whether requests are accepted without an API key
 * @param sticky whether requests name parts of their prompts that backends cache, so that routing
 *     applies prefix affinity
 * @param resumable whether a broken stream may be resumed at another backend
 * @param targetGapMillis longest pause between two events for a stream to count as in time; 0 if
 *     not given
 */
public record Route(
    String name,
    String hostname,
    String pathPrefix,
    RouteKind kind,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    List<WeightedService> targets,
    int maxAttempts,
    boolean isPublic,
    boolean sticky,
    boolean resumable,
    long targetGapMillis) {

  /** A service and its share of the traffic of a route, relative to the other weights. */
  public record WeightedService(String service, int weight) {}
}
