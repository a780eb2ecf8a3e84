package slateslip.routing;

import slateslip.routing.RouterInput.AttemptOutcome.Kind;

/**
 * How far the request of one attempt has left, and what an end without a response means for it.
 *
 * <p>A backend may begin work as soon as it has the first bytes, and answer before it has read the
 * rest. So only a request of which the connection has taken nothing is known not to have run; from
 * the first byte on, only the backend itself can say that.
 */
public class RequestTransmission {
  private long sentBytes;
  private boolean complete;
  private boolean responseStarted;

  /** The connection has taken so many bytes of the request by now. */
  public final void sent(long bytes) {
    sentBytes = Math.max(sentBytes, bytes);
  }

  /** The connection has taken the last byte. */
  public final void completed() {
    complete = true;
  }

  /** The head of a response to this request has come. */
  public final void responseStarted() {
    responseStarted = true;
  }

  /** Whether the connection has taken the whole request. */
  public final boolean isComplete() {
    return complete;
  }

  /** Whether a response to this request has begun to come. */
  public final boolean hasResponse() {
    return responseStarted;
  }

  /** Whether the backend may have begun work, if it does not say itself that it has not. */
  public boolean mayHaveRun() {
    return sentBytes > 0 || complete || responseStarted;
  }

  /** The outcome if the connection ends now, or what came on it is no response. */
  public final Kind whenBroken() {
    return mayHaveRun() ? Kind.BROKEN : Kind.NOT_SENT;
  }

  /** The outcome if the time for a response is over now. */
  public final Kind whenTimedOut() {
    return mayHaveRun() ? Kind.TIMEOUT : Kind.NOT_SENT;
  }
}
