package slateslip.routing;

/**
 * Reasons why a request cannot be sent to another backend. When a response has already begun, the
 * data plane closes the client's connection and reports the reason.
 */
public enum AbortReason {
  /** The route's timeout or the client's deadline expired. */
  DEADLINE,
  /**
   * The attempt failed after the backend may have run the request, and the request must not run
   * twice.
   */
  NOT_REPEATABLE,
  /**
   * The request has been sent to as many backends as its route permits, or retries are disabled.
   */
  ATTEMPTS_EXHAUSTED,
  /** The current configuration or the key lease no longer permits the request to be sent. */
  NOT_ALLOWED,
  /** No backend is left to which the request could be sent. */
  NO_BACKEND,
  /** The retry budget of the service is exhausted. */
  RETRY_BUDGET,
  /** The quota of the tenant has no capacity for another attempt. */
  QUOTA,
  /** The process shuts down. */
  SHUTDOWN
}
