package slateslip.distribution.peer;

/**
 * A call of the operator's that changes or reads the configuration.
 *
 * @param method what is asked
 * @param baseVersion version that the change builds on; of a {@link Method#GET} the version that
 *     the caller has, whose document need not be sent to it again, or 0
 * @param body as it was sent; empty for a {@link Method#GET}
 */
public record OperatorRequest(Method method, long baseVersion, byte[] body) {
  /** What is asked. */
  public enum Method {
    /** The newest configuration. */
    GET,
    /** A complete configuration. */
    PUT,
    /** Changes of named items. */
    PATCH
  }
}
