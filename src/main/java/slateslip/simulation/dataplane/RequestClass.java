package slateslip.simulation.dataplane;

import java.util.List;
import slateslip.configuration.RouteKind;

/**
 * One kind of request that clients send, and its route.
 *
 * @param name of the class; also of its route
 * @param service that serves it
 * @param kind what may be repeated
 * @param resumable whether a stream may be taken up at another backend
 * @param targetLatencyMillis until the first event or the whole answer
 * @param targetGapMillis longest pause between events that keeps a stream in time
 * @param deadlineMillis how long the client waits in all
 * @param timeoutMillis how long the route lets a request be held
 * @param priority rank, 0 highest
 * @param maxAttempts backends that one try may be sent to
 * @param retries further tries of a client
 * @param share of all requests, relative to the other classes
 * @param value of a response in time
 * @param lateValue of a later answer
 * @param sharedParts parts of prompts that requests share, in order
 * @param ownTokens the last part of a prompt, the request's own
 * @param outputEvents events of a response
 * @param workMillis time in a slot of a backend that is no engine
 * @param errorShare fraction of requests that such a backend answers with 500
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
   * A part of prompts that several requests share.
   *
   * @param tokens its length; drawn once for each thing
   * @param things how many different ones there are
   * @param skew exponent of their popularity; 0 makes all equally popular
   */
  public record SharedPart(Size tokens, int things, double skew) {}

  /**
   * A log-normal size.
   *
   * @param mean its mean
   * @param spread standard deviation of its logarithm
   * @param max its upper end
   */
  public record Size(double mean, double spread, double max) {
    /** A size that is always zero. */
    public static final Size NONE = new Size(0, 0, 0);

    /** One draw, given a standard normal number. */
    double draw(double normal) {
      return Math.min(max, mean * Math.exp(spread * normal - spread * spread / 2));
    }
  }

  /** Whether an attempt may run more than once. */
  public boolean repeatable() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
  }
}
