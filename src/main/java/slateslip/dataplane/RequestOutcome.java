package slateslip.dataplane;

import java.util.Locale;

/** How a request ended, as its client has seen it. */
public enum RequestOutcome {
  /** Answered within the latency objective of its route. */
  SERVED,
  /** Answered, later than that. */
  LATE,
  /** Refused with 503: nothing has run, and the client may come back. */
  REFUSED,
  /** Refused with 429, as its tenant's quota is used up. */
  OVER_QUOTA,
  /** Refused for what it is: unknown route, missing key, too long. */
  DENIED,
  /** Its time was up: 504. */
  TIMED_OUT,
  /** A backend failed, and it could not be sent again. */
  FAILED,
  /** Its response had begun and was cut. */
  BROKEN_OFF,
  /** The client left before the end. */
  CLIENT_GONE;

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int FIRST_SERVER_ERROR = 500;

  /** The outcome of a response of the data plane's own with this status. */
  public static RequestOutcome ofOwnStatus(int status) {
    return switch (status) {
      case UNAVAILABLE -> REFUSED;
      case TOO_MANY_REQUESTS -> OVER_QUOTA;
      case GATEWAY_TIMEOUT -> TIMED_OUT;
      default -> status < FIRST_SERVER_ERROR ? DENIED : FAILED;
    };
  }

  /** The name of this outcome in metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
