package slateslip.dataplane.forwarding;

import slateslip.dataplane.DataPlaneMetrics;
import slateslip.dataplane.HeaderNames;
import slateslip.dataplane.backend.AttemptListener;
import slateslip.dataplane.backend.AttemptResult;
import slateslip.dataplane.backend.BackendAttempt;
import slateslip.dataplane.backend.BackendResponse;
import slateslip.dataplane.ingress.ClientExchange;
import slateslip.dataplane.stream.StreamEvent;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * Forwards the response of one attempt to the client and reports the attempt's progress and outcome
 * to the router.
 */
final class AttemptRelay implements AttemptListener {
  private final ForwardedRequest forwarded;
  private final int attemptNumber;
  private final RouterDriver driver;
  private final DataPlaneMetrics metrics;
  private final Runnable onEnded;

  /** Number of events that had been forwarded to the client when this attempt was sent. */
  private final long eventsForwardedAtStart;

  private BackendResponse streamHead;
  private BackendLoad streamLoad;

  AttemptRelay(
      ForwardedRequest forwarded,
      int attemptNumber,
      RouterDriver driver,
      DataPlaneMetrics metrics,
      Runnable onEnded) {
    this.forwarded = forwarded;
    this.attemptNumber = attemptNumber;
    this.driver = driver;
    this.metrics = metrics;
    this.onEnded = onEnded;
    this.eventsForwardedAtStart = forwarded.eventsForwarded;
  }

  @Override
  public void streamStarted(BackendResponse head, BackendLoad load) {
    streamHead = head;
    streamLoad = load;
  }

  @Override
  public void eventReceived(StreamEvent event) {
    ClientExchange exchange = forwarded.exchange;
    if (exchange.isEnded() || !isStreamSource()) {
      return;
    }
    if (event.id() != StreamEvent.NO_ID && event.id() <= forwarded.lastEventId) {
      return; // an earlier attempt already delivered this event to the client
    }
    beginStream();
    exchange.writeEvent(event.bytes());
    forwarded.eventsForwarded++;
    metrics.events++;
    if (event.id() != StreamEvent.NO_ID) {
      forwarded.lastEventId = event.id();
    }
  }

  /**
   * Returns whether the events of this attempt are forwarded to the client. This is the case if
   * this attempt already is the streaming attempt, if no streaming attempt is running, or if the
   * streaming attempt has delivered no event since this attempt was sent.
   */
  private boolean isStreamSource() {
    boolean streamSourceIsRunning = forwarded.attempts.containsKey(forwarded.streamingAttempt);
    return forwarded.streamingAttempt == attemptNumber
        || !streamSourceIsRunning
        || forwarded.eventsForwarded == eventsForwardedAtStart;
  }

  private void beginStream() {
    if (forwarded.streamingAttempt == attemptNumber) {
      if (forwarded.attempts.size() > 1) {
        driver.feed(new RouterInput.AttemptStarted(forwarded.id, attemptNumber, null));
      }
      return;
    }
    forwarded.streamingAttempt = attemptNumber;
    if (!forwarded.exchange.isStarted()) {
      removeGeneratedAttemptId(forwarded, streamHead);
      forwarded.stats.responseStarted(System.nanoTime());
      forwarded.exchange.beginStream(streamHead.status(), streamHead.headers());
    } else {
      metrics.resumed++;
    }
    driver.feed(new RouterInput.AttemptStarted(forwarded.id, attemptNumber, streamLoad));
  }

  @Override
  public void streamIdle() {
    driver.feed(new RouterInput.StreamIdle(forwarded.id, attemptNumber));
  }

  @Override
  public void readComplete() {
    forwarded.exchange.flush();
    BackendAttempt attempt = forwarded.attempts.get(attemptNumber);
    if (attempt != null && !forwarded.exchange.isEnded() && !forwarded.exchange.isWritable()) {
      attempt.setReading(false);
    }
  }

  @Override
  public void ended(AttemptResult result) {
    forwarded.attempts.remove(attemptNumber);
    AttemptOutcome outcome = result.outcome();
    if (outcome.kind() == AttemptOutcome.Kind.SUCCESS && !forwardResponse(result)) {
      outcome = new AttemptOutcome(AttemptOutcome.Kind.BROKEN, 0);
    }
    forwarded.history.attemptEnded(attemptNumber, outcome, result.sentBytes());
    if (outcome.kind() == AttemptOutcome.Kind.SUCCESS) {
      forwarded.failures.clear();
    } else if (outcome.kind() == AttemptOutcome.Kind.ERROR_RESPONSE) {
      forwarded.failures.put(attemptNumber, result.response());
    } else {
      forwarded.exchange.flush();
    }
    driver.feed(
        new RouterInput.AttemptEnded(
            forwarded.id, attemptNumber, outcome, result.load(), forwarded.lastEventId));
    onEnded.run();
  }

  /**
   * Forwards a complete response to the client. Returns false if the response cannot follow the
   * data that the client has already received: a response that is not a stream after a stream has
   * started, or the end of a stream that another attempt has replaced.
   */
  private boolean forwardResponse(AttemptResult result) {
    ClientExchange exchange = forwarded.exchange;
    if (exchange.isEnded()) {
      return true;
    }
    if (streamHead != null && isStreamSource()) {
      beginStream();
      forwarded.stats.responseCompleted(System.nanoTime());
      exchange.endStream();
      return true;
    }
    if (streamHead == null && !exchange.isStarted()) {
      forwarded.stats.responseCompleted(System.nanoTime());
      relay(forwarded, result.response());
      return true;
    }
    return false; // the response does not match what the client has received
  }

  /** Forwards a complete response of a backend to the client. */
  static void relay(ForwardedRequest forwarded, BackendResponse response) {
    removeGeneratedAttemptId(forwarded, response);
    forwarded.exchange.relay(
        response.status(), response.headers(), response.body(), response.contentLength());
  }

  /**
   * Removes the attempt id header from the response if the client sent no attempt id with its
   * request.
   */
  private static void removeGeneratedAttemptId(
      ForwardedRequest forwarded, BackendResponse response) {
    if (forwarded.request.attributes().attemptId().isEmpty()) {
      response.headers().remove(HeaderNames.ATTEMPT_ID);
    }
  }
}
