package slateslip.dataplane.forwarding;

import java.util.concurrent.TimeUnit;
import slateslip.dataplane.RequestOutcome;
import slateslip.routing.RouterOutput;

/** The times of one request, what was expected of its newest attempt, and how it ended. */
final class RequestAccount {
  private static final long NOT_YET = 0;

  private final long arrivedNanos;
  private long sentNanos = NOT_YET;
  private long answeredNanos = NOT_YET;
  private RouterOutput.Estimate estimate = RouterOutput.Estimate.NONE;
  private RequestOutcome outcome;

  RequestAccount(long arrivedNanos) {
    this.arrivedNanos = arrivedNanos;
  }

  long arrivedNanos() {
    return arrivedNanos;
  }

  /** An attempt is sent. */
  void sent(long nowNanos, RouterOutput.Estimate expected) {
    sentNanos = nowNanos;
    estimate = expected;
  }

  /** The first part of a backend's response is passed on. */
  void answered(long nowNanos) {
    if (answeredNanos == NOT_YET) {
      answeredNanos = nowNanos;
    }
  }

  /** A backend's response has been passed on whole. */
  void served(long nowNanos) {
    answered(nowNanos);
    long micros = TimeUnit.NANOSECONDS.toMicros(answeredNanos - arrivedNanos);
    boolean late = estimate.targetMicros() > 0 && micros > estimate.targetMicros();
    ended(late ? RequestOutcome.LATE : RequestOutcome.SERVED);
  }

  /** It has ended so, unless it has ended before. */
  void ended(RequestOutcome how) {
    if (outcome == null) {
      outcome = how;
    }
  }

  /** How it ended; null while it has not. */
  RequestOutcome outcome() {
    return outcome;
  }

  /** Adds the times to a log line; a time of something that did not happen is left out. */
  void describe(StringBuilder line, long nowNanos) {
    append(line, "target_ms", TimeUnit.MICROSECONDS.toMillis(estimate.targetMicros()));
    append(line, "candidates", estimate.candidates());
    append(line, "expected_ms", TimeUnit.MICROSECONDS.toMillis(estimate.firstEventMicros()));
    if (sentNanos != NOT_YET) {
      append(line, "sent_after_ms", millisSinceArrival(sentNanos));
    }
    if (answeredNanos != NOT_YET) {
      append(line, "answered_after_ms", millisSinceArrival(answeredNanos));
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
