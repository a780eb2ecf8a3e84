package slateslip.simulation.dataplane;

import java.util.List;
import slateslip.configuration.RouteKind;

/**
 * A class of requests that clients send, and the route of these requests.
 *
 * @param name name of the class and of its route
 * @param service name of the service that serves the class
 * @param kind kind of the route; decides whether attempts may be retried after an execution
 * @param resumable whether a stream may be resumed at another backend
 * @param targetLatencyMillis target time to the first event or to the complete response
 * @param targetGapMillis longest gap between events with which a stream still counts as in time; 0
 *     for no target
 * @param deadlineMillis total time that the client waits
 * @param timeoutMillis timeout of the route, the longest time that a data plane may hold a request
 * @param priority priority of the route, 0 is the highest
 * @param maxAttempts number of backends to which a data plane may send one attempt of a client
 * @param retries number of retries of a client after the first attempt
 * @param share weight of the class among all requests, relative to the other classes
 * @param value value of a response in time
 * @param lateValue value of a response that misses a target
 * @param sharedParts parts of the prompt that requests share, in order
 * @param ownTokens size in tokens of the last part of the prompt, which no other request shares
 * @param outputEvents number of events of a response
 * @param workMillis time that a request occupies a slot of a backend without an engine
 * @param errorShare fraction of requests to which a backend without an engine responds with status
 *     500
 */
public record RequestClass(
    String name,
    String service,
    RouteKind kind,
    boolean resumable,
    long targetLatencyMillis,
    long targetGapMillis,
    long deadlineMillis,
    long timeoutMillis,
    int priority,
    int maxAttempts,
    int retries,
    double share,
    double value,
    double lateValue,
    List<SharedPart> sharedParts,
    Size ownTokens,
    Size outputEvents,
    Size workMillis,
    double errorShare) {

  /**
   * A part of a prompt that several requests share.
   *
   * @param tokens length of the part in tokens; drawn once for each distinct part
   * @param things number of distinct parts
   * @param skew exponent of the Zipf distribution of their popularity; 0 makes all equally popular
   */
  public record SharedPart(Size tokens, int things, double skew) {}

  /**
   * A size with a log-normal distribution and an upper limit.
   *
   * @param mean mean of the distribution without the limit
   * @param spread standard deviation of the logarithm of the size
   * @param max upper limit of the size
   */
  public record Size(double mean, double spread, double max) {
    /** A size that is always zero. */
    public static final Size NONE = new Size(0, 0, 0);

    /** Returns the size that corresponds to a draw from the standard normal distribution. */
    double draw(double normal) {
      return Math.min(max, mean * Math.exp(spread * normal - spread * spread / 2));
    }
  }

  /** Returns whether backends may execute an attempt more than once. */
  public boolean repeatable() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
  }
}
