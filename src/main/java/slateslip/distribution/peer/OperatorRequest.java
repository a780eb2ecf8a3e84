package slateslip.distribution.peer;

/**
 * An operator's request to read or change the configuration.
 *
 * @param method operation that the operator requests
 * @param baseVersion version to which the change applies; for {@link Method#GET}, the version that
 *     the caller already has, whose document need not be sent again, or 0
 * @param body body of the request as the operator sent it; empty for {@link Method#GET}
 */
public record OperatorRequest(Method method, long baseVersion, byte[] body) {
  /** The operation that an operator requests. */
  public enum Method {
    /** Returns the newest configuration. */
    GET,
    /** Replaces the complete configuration. */
    PUT,
    /** Changes the items that the body names. */
    PATCH
  }
}
