package slateslip.configuration;

/**
 * What clients may send and how long they may take or rest.
 *
 * @param maxHeaderBytes of a request's head
 * @param maxBodyBytes of a request's body
 * @param headerTimeoutMillis until a request's head is complete
 * @param idleTimeoutMillis how long a connection may rest between requests
 */
public record IngressLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** What holds until a configuration says otherwise. */
  public static final IngressLimits DEFAULT = new IngressLimits(16_384, 4_194_304, 3_000, 15_000);
}
