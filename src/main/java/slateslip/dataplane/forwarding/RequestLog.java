package slateslip.dataplane.forwarding;

import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import slateslip.dataplane.DataPlaneMetrics;
import slateslip.dataplane.RequestOutcome;

/**
 * Counts the outcomes of requests and logs some of the ended requests, one line each. The rate of
 * log lines is limited; requests that were not served in time are logged at a higher rate than
 * requests that were.
 */
final class RequestLog {
  private static final Logger LOG = Logger.getLogger(RequestLog.class);
  private static final long NOT_SERVED_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long SERVED_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final DataPlaneMetrics metrics;
  private long nextNotServedNanos = System.nanoTime();
  private long nextServedNanos = System.nanoTime();

  RequestLog(DataPlaneMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Counts a request that has ended and has no attempt in progress, and logs the request if the
   * rate limit allows.
   */
  void ended(ForwardedRequest forwarded) {
    RequestOutcome outcome = forwarded.stats.outcome();
    if (outcome == null) {
      outcome = RequestOutcome.CLIENT_GONE;
    }
    metrics.ended(outcome);
    long now = System.nanoTime();
    if (shouldLog(outcome, now)) {
      LOG.info(line(forwarded, outcome, now));
    }
  }

  private boolean shouldLog(RequestOutcome outcome, long now) {
    if (outcome == RequestOutcome.SERVED) {
      boolean due = now - nextServedNanos >= 0;
      nextServedNanos = due ? now + SERVED_INTERVAL_NANOS : nextServedNanos;
      return due;
    }
    boolean due = now - nextNotServedNanos >= 0;
    nextNotServedNanos = due ? now + NOT_SERVED_INTERVAL_NANOS : nextNotServedNanos;
    return due;
  }

  private static String line(ForwardedRequest forwarded, RequestOutcome outcome, long now) {
    StringBuilder line = new StringBuilder("request ended: outcome=").append(outcome.label());
    line.append(" attempt_id=").append(forwarded.decodedAttemptId());
    forwarded.stats.appendTo(line, now);
    line.append(" attempts=").append(forwarded.history);
    return line.toString();
  }
}
