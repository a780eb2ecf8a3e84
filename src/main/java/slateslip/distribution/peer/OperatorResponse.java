package slateslip.distribution.peer;

import java.nio.charset.StandardCharsets;

/**
 * The response to an {@link OperatorRequest}.
 *
 * @param status HTTP status code
 * @param version newest configuration version that is known; 0 if there is none
 * @param body JSON, or a plain text message if the request failed
 */
public record OperatorResponse(int status, long version, byte[] body) {
  /** The status if the change is committed or the body contains the configuration. */
  public static final int OK = 200;

  /** The status if the body of the request is not valid. */
  public static final int INVALID = 400;

  /** The status if there is no configuration. */
  public static final int NOT_FOUND = 404;

  /** The status if the request names another version than the current one. */
  public static final int CONFLICT = 412;

  /** The status if the outcome of the request is not known. */
  public static final int UNAVAILABLE = 503;

  /** Creates a response with a plain text message. */
  public static OperatorResponse of(int status, long version, String message) {
    return new OperatorResponse(status, version, message.getBytes(StandardCharsets.UTF_8));
  }

  /** Creates a response for a request with an unknown outcome, with the reason as its message. */
  public static OperatorResponse unavailable(String reason) {
    return of(UNAVAILABLE, 0, reason);
  }
}
