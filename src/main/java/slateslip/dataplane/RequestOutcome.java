package slateslip.dataplane;

import java.util.Locale;

/** Outcomes of a request from the view of its client. */
public enum RequestOutcome {
  /** A response was sent within the latency objective of the route. */
  SERVED,
  /** A response was sent after the latency objective of the route. */
  LATE,
  /**
   * The request was refused with status 503: no backend executed the request, and the client may
   * retry.
   */
  REFUSED,
  /** The request was refused with status 429, because the quota of its tenant is used up. */
  OVER_QUOTA,
  /**
   * The request was rejected because of its contents, such as an unknown route, a missing key or an
   * excessive size.
   */
  DENIED,
  /** The request reached its deadline, and status 504 was sent. */
  TIMED_OUT,
  /** A backend failed, and the request could not be retried. */
  FAILED,
  /** The response had begun and was broken off. */
  BROKEN_OFF,
  /** The client disconnected before the response was complete. */
  CLIENT_GONE;

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Returns the outcome of a response with this status that the data plane generated itself. */
  public static RequestOutcome ofLocalResponse(int status) {
    return switch (status) {
      case UNAVAILABLE -> REFUSED;
      case TOO_MANY_REQUESTS -> OVER_QUOTA;
      case GATEWAY_TIMEOUT -> TIMED_OUT;
      default -> status < FIRST_SERVER_ERROR ? DENIED : FAILED;
    };
  }

  /** Returns the name of this outcome in metrics, in lower case. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
