package slateslip.configuration;

/**
 * Limits of client connections: sizes of requests and timeouts.
 *
 * @param maxHeaderBytes maximum size of the request line and headers of a request
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMillis timeout for receiving all headers of a request
 * @param idleTimeoutMillis how long a connection may stay idle between requests
 */
public record IngressLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits that apply until a configuration sets others. */
  public static final IngressLimits DEFAULT = new IngressLimits(16_384, 4_194_304, 3_000, 15_000);
}
