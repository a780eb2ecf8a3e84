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

/** Passes one attempt's answer on to the client, and tells the router how the attempt went. */
final class AttemptRelay implements AttemptListener {
  private final ForwardedRequest forwarded;
  private final int number;
  private final RouterDriver driver;
  private final DataPlaneMetrics metrics;
  private final Runnable whenEnded;

  /** Events that the client had when this attempt was sent. */
  private final long eventsBefore;

  private BackendResponse streamHead;
  private BackendLoad streamLoad;

  AttemptRelay(
      ForwardedRequest forwarded,
      int number,
      RouterDriver driver,
      DataPlaneMetrics metrics,
      Runnable whenEnded) {
    this.forwarded = forwarded;
    this.number = number;
    this.driver = driver;
    this.metrics = metrics;
    this.whenEnded = whenEnded;
    this.eventsBefore = forwarded.eventsPassed;
  }

  @Override
  public void streamStarted(BackendResponse head, BackendLoad load) {
    streamHead = head;
    streamLoad = load;
  }

  @Override
  public void eventReceived(StreamEvent event) {
    ClientExchange exchange = forwarded.exchange;
    if (exchange.isEnded() || !takesStream()) {
      return;
    }
    if (event.id() != StreamEvent.NO_ID && event.id() <= forwarded.lastEventId) {
      return; // the client has had it from the attempt before
    }
    beginStream();
    exchange.writeEvent(event.bytes());
    forwarded.eventsPassed++;
    metrics.events++;
    if (event.id() != StreamEvent.NO_ID) {
      forwarded.lastEventId = event.id();
    }
  }

  /**
   * Whether this attempt's events are those that the client gets. It takes over from another that
   * is silent if that one has brought nothing since this one was sent.
   */
  private boolean takesStream() {
    boolean otherStreams = forwarded.attempts.containsKey(forwarded.streamingAttempt);
    return forwarded.streamingAttempt == number
        || !otherStreams
        || forwarded.eventsPassed == eventsBefore;
  }

  private void beginStream() {
    if (forwarded.streamingAttempt == number) {
      if (forwarded.attempts.size() > 1) {
        driver.feed(new RouterInput.AttemptStarted(forwarded.id, number, null));
      }
      return;
    }
    forwarded.streamingAttempt = number;
    if (!forwarded.exchange.isStarted()) {
      removeOwnId(forwarded, streamHead);
      forwarded.account.answered(System.nanoTime());
      forwarded.exchange.beginStream(streamHead.status(), streamHead.headers());
    } else {
      metrics.resumed++;
    }
    driver.feed(new RouterInput.AttemptStarted(forwarded.id, number, streamLoad));
  }

  @Override
  public void streamIdle() {
    driver.feed(new RouterInput.StreamIdle(forwarded.id, number));
  }

  @Override
  public void readComplete() {
    forwarded.exchange.flush();
    BackendAttempt attempt = forwarded.attempts.get(number);
    if (attempt != null && !forwarded.exchange.isEnded() && !forwarded.exchange.isWritable()) {
      attempt.setReading(false);
    }
  }

  @Override
  public void ended(AttemptResult result) {
    forwarded.attempts.remove(number);
    AttemptOutcome outcome = result.outcome();
    if (outcome.kind() == AttemptOutcome.Kind.SUCCESS && !passOn(result)) {
      outcome = new AttemptOutcome(AttemptOutcome.Kind.BROKEN, 0);
    }
    forwarded.history.ended(number, outcome, result.sentBytes());
    if (outcome.kind() == AttemptOutcome.Kind.SUCCESS) {
      forwarded.failures.clear();
    } else if (outcome.kind() == AttemptOutcome.Kind.ERROR_RESPONSE) {
      forwarded.failures.put(number, result.response());
    } else {
      forwarded.exchange.flush();
    }
    driver.feed(
        new RouterInput.AttemptEnded(
            forwarded.id, number, outcome, result.load(), forwarded.lastEventId));
    whenEnded.run();
  }

  /** Passes a whole response on; false if it can't be what the client is owed. */
  private boolean passOn(AttemptResult result) {
    ClientExchange exchange = forwarded.exchange;
    if (exchange.isEnded()) {
      return true;
    }
    if (streamHead != null && takesStream()) {
      beginStream();
      forwarded.account.served(System.nanoTime());
      exchange.endStream();
      return true;
    }
    if (streamHead == null && !exchange.isStarted()) {
      forwarded.account.served(System.nanoTime());
      relay(forwarded, result.response());
      return true;
    }
    return false; // a whole response where a stream was to go on, or the end of one overtaken
  }

  /** Passes a whole answer on. */
  static void relay(ForwardedRequest forwarded, BackendResponse response) {
    removeOwnId(forwarded, response);
    forwarded.exchange.relay(
        response.status(), response.headers(), response.body(), response.contentLength());
  }

  /** Takes away an attempt id that the client did not send. */
  private static void removeOwnId(ForwardedRequest forwarded, BackendResponse response) {
    if (forwarded.request.attributes().attemptId().isEmpty()) {
      response.headers().remove(HeaderNames.ATTEMPT_ID);
    }
  }
}
