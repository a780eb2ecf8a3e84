package slateslip.configuration;

/** Determines which requests of a route may be sent to a backend again. */
public enum RouteKind {
  /** A request may be executed any number of times. */
  IDEMPOTENT,
  /** A request may be executed at most once for each time that the client sends it. */
  NON_IDEMPOTENT,
  /**
   * The response is a stream of events. Treated as {@link #NON_IDEMPOTENT} unless the route is
   * resumable.
   */
  STREAMING
}
