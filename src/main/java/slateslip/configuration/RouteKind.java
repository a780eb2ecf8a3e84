package slateslip.configuration;

/** What of a route's requests may be repeated. */
public enum RouteKind {
  /** May run any number of times. */
  IDEMPOTENT,
  /** May run once at most for each attempt of the client. */
  NON_IDEMPOTENT,
  /** Answered with a series of events; as {@link #NON_IDEMPOTENT} unless the route is resumable. */
  STREAMING
}
