package slateslip.dataplane.forwarding;

import java.util.concurrent.TimeUnit;
import slateslip.dataplane.RequestOutcome;
import slateslip.routing.RouterOutput;

/** Times of one request, the router's estimate for its latest attempt, and its outcome. */
final class RequestStats {
  private static final long UNSET = 0;

  private final long arrivedNanos;
  private long sentNanos = UNSET;
  private long responseStartedNanos = UNSET;
  private RouterOutput.Estimate estimate = RouterOutput.Estimate.NONE;
  private RequestOutcome outcome;

  RequestStats(long arrivedNanos) {
    this.arrivedNanos = arrivedNanos;
  }

  long arrivedNanos() {
    return arrivedNanos;
  }

  /** Records that an attempt is sent, with the router's estimate for this attempt. */
  void attemptSent(long nowNanos, RouterOutput.Estimate expected) {
    sentNanos = nowNanos;
    estimate = expected;
  }

  /**
   * Records that the first part of a backend's response is forwarded to the client; later calls
   * have no effect.
   */
  void responseStarted(long nowNanos) {
    if (responseStartedNanos == UNSET) {
      responseStartedNanos = nowNanos;
    }
  }

  /**
   * Records that a backend's response was forwarded completely. The outcome is {@code LATE} if the
   * response started after the latency target of the estimate, otherwise {@code SERVED}.
   */
  void responseCompleted(long nowNanos) {
    responseStarted(nowNanos);
    long micros = TimeUnit.NANOSECONDS.toMicros(responseStartedNanos - arrivedNanos);
    boolean late = estimate.targetMicros() > 0 && micros > estimate.targetMicros();
    ended(late ? RequestOutcome.LATE : RequestOutcome.SERVED);
  }

  /** Sets the outcome of the request; only the first call has an effect. */
  void ended(RequestOutcome newOutcome) {
    if (outcome == null) {
      outcome = newOutcome;
    }
  }

  /** Returns the outcome of the request, or null while the request has not ended. */
  RequestOutcome outcome() {
    return outcome;
  }

  /**
   * Appends the estimate and the times to a log line. The times of steps that did not happen are
   * omitted.
   */
  void appendTo(StringBuilder line, long nowNanos) {
    append(line, "target_ms", TimeUnit.MICROSECONDS.toMillis(estimate.targetMicros()));
    append(line, "candidates", estimate.candidates());
    append(line, "expected_ms", TimeUnit.MICROSECONDS.toMillis(estimate.firstEventMicros()));
    if (sentNanos != UNSET) {
      append(line, "sent_after_ms", millisSinceArrival(sentNanos));
    }
    if (responseStartedNanos != UNSET) {
      append(line, "answered_after_ms", millisSinceArrival(responseStartedNanos));
    }
    append(line, "ended_after_ms", millisSinceArrival(nowNanos));
  }

  private long millisSinceArrival(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos - arrivedNanos);
  }

  private static void append(StringBuilder line, String name, long value) {
    line.append(' ').append(name).append('=').append(value);
  }
}
