package slateslip.configuration;

import java.util.List;

/**
 * A route of the operator's configuration.
 *
 * @param name unique name
 * @param hostname the {@code Host} that it is for
 * @param pathPrefix starts and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis how long a request may be held at most
 * @param targetLatencyMillis within this time a response earns its full worth
 * @param priority rank, 0 highest
 * @param targets services with their weights; at least one, weights not all 0
 * @param maxAttempts backends that one try may be sent to at most
 * @param isPublic whether no key is needed
 * @param sticky whether requests name parts of prompts that backends keep
 * @param resumable whether a stream may be taken up at another backend
 * @param targetGapMillis longest pause between events that keeps a response in time; 0 if not given
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

  /** A service and its weight within a route. */
  public record WeightedService(String service, int weight) {}
}
