package slateslip.routing;

import slateslip.routing.RouterInput.AttemptOutcome.Kind;

/**
 * Tracks how much of an attempt's request was written to the connection, and derives the outcome of
 * an attempt that ends without a response.
 *
 * <p>A backend may start to process a request as soon as the first bytes arrive, and may respond
 * before it has read the rest. A request is therefore known not to have run only if the connection
 * accepted none of its bytes. After the first byte, only the backend itself can report that it did
 * not run the request.
 */
public class RequestTransmission {
  private long sentBytes;
  private boolean complete;
  private boolean responseStarted;

  /** Records the total number of bytes of the request that the connection has accepted so far. */
  public final void sent(long bytes) {
    sentBytes = Math.max(sentBytes, bytes);
  }

  /** Records that the connection has accepted the last byte of the request. */
  public final void completed() {
    complete = true;
  }

  /** Records that the head of a response to this request was received. */
  public final void responseStarted() {
    responseStarted = true;
  }

  /** Returns whether the connection has accepted the whole request. */
  public final boolean isComplete() {
    return complete;
  }

  /** Returns whether the head of a response to this request was received. */
  public final boolean hasResponse() {
    return responseStarted;
  }

  /**
   * Returns whether the backend may have run the request, unless the backend itself reports that it
   * did not.
   */
  public boolean mayHaveRun() {
    return sentBytes > 0 || complete || responseStarted;
  }

  /**
   * Returns the outcome of the attempt if the connection closes now or the received data is not a
   * valid response.
   */
  public final Kind outcomeIfBroken() {
    return mayHaveRun() ? Kind.BROKEN : Kind.NOT_SENT;
  }

  /** Returns the outcome of the attempt if its timeout expires now. */
  public final Kind outcomeIfTimedOut() {
    return mayHaveRun() ? Kind.TIMEOUT : Kind.NOT_SENT;
  }
}
