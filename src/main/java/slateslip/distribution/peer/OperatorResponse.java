package slateslip.distribution.peer;

import java.nio.charset.StandardCharsets;

/**
 * Response to an {@link OperatorRequest}.
 *
 * @param status HTTP status
 * @param version newest version, as far as it is known; 0 if there is none
 * @param body JSON, or a plain message for an error
 */
public record OperatorResponse(int status, long version, byte[] body) {
  /** The change is committed, or the configuration is in the body. */
  public static final int OK = 200;

  /** The body is not valid. */
  public static final int INVALID = 400;

  /** There is no configuration. */
  public static final int NOT_FOUND = 404;

  /** Another version is current. */
  public static final int CONFLICT = 412;

  /** No clear response. */
  public static final int UNAVAILABLE = 503;

  /** A response with a message. */
  public static OperatorResponse of(int status, long version, String message) {
    return new OperatorResponse(status, version, message.getBytes(StandardCharsets.UTF_8));
  }

  /** No clear response, and why. */
  public static OperatorResponse unavailable(String reason) {
    return of(UNAVAILABLE, 0, reason);
  }
}
