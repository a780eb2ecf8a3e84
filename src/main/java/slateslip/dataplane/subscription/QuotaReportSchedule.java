package slateslip.dataplane.subscription;

import slateslip.distribution.QuotaReport;

/** Determines when the next quota report is due. Times are of the steady clock. */
final class QuotaReportSchedule {
  private static final long INTERVAL_MILLIS = 250;

  /**
   * Interval between two quota reports without tenants. Such a report only shows that this data
   * plane is alive, and has to arrive well within the 1.5 s after which a data plane is treated as
   * unresponsive.
   */
  private static final long EMPTY_INTERVAL_MILLIS = 500;

  private long lastReportMillis;

  /** Returns whether this report is due, and records it as sent in that case. */
  boolean takeIfDue(long nowMillis, QuotaReport report) {
    boolean due = nowMillis - lastReportMillis >= intervalMillis(report);
    if (due) {
      lastReportMillis = nowMillis;
    }
    return due;
  }

  private static long intervalMillis(QuotaReport report) {
    if (report.waiting()) {
      // half a tick, so that a report is sent at each tick even if the tick comes early
      return Subscription.TICK_MILLIS / 2;
    }
    return report.tenants().isEmpty() ? EMPTY_INTERVAL_MILLIS : INTERVAL_MILLIS;
  }
}
