package slateslip.dataplane.forwarding;

import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import slateslip.dataplane.DataPlaneMetrics;
import slateslip.dataplane.RequestOutcome;

/**
 * Counts how requests end, and tells some of them in the log, one line each: those that were not
 * served in time more often than the others, and all at a bounded rate.
 */
final class RequestLog {
  private static final Logger LOG = Logger.getLogger(RequestLog.class);
  private static final long LOSS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long SERVED_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final DataPlaneMetrics metrics;
  private long nextLossNanos = System.nanoTime();
  private long nextServedNanos = System.nanoTime();

  RequestLog(DataPlaneMetrics metrics) {
    this.metrics = metrics;
  }

  /** A request has ended, and nothing of it is under way. */
  void ended(ForwardedRequest forwarded) {
    RequestOutcome outcome = forwarded.account.outcome();
    if (outcome == null) {
      outcome = RequestOutcome.CLIENT_GONE;
    }
    metrics.ended(outcome);
    long now = System.nanoTime();
    if (mayTell(outcome, now)) {
      LOG.info(line(forwarded, outcome, now));
    }
  }

  private boolean mayTell(RequestOutcome outcome, long now) {
    if (outcome == RequestOutcome.SERVED) {
      boolean due = now - nextServedNanos >= 0;
      nextServedNanos = due ? now + SERVED_INTERVAL_NANOS : nextServedNanos;
      return due;
    }
    boolean due = now - nextLossNanos >= 0;
    nextLossNanos = due ? now + LOSS_INTERVAL_NANOS : nextLossNanos;
    return due;
  }

  private static String line(ForwardedRequest forwarded, RequestOutcome outcome, long now) {
    StringBuilder line = new StringBuilder("request ended: outcome=").append(outcome.label());
    line.append(" attempt_id=").append(forwarded.attemptIdText());
    forwarded.account.describe(line, now);
    line.append(" attempts=").append(forwarded.history);
    return line.toString();
  }
}
