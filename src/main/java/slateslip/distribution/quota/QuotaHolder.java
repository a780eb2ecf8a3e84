package slateslip.distribution.quota;

import java.util.HashMap;
import java.util.Map;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.TenantDemand;

/** Represents one process of a data plane and the parts of all quotas that the process holds. */
final class QuotaHolder {
  /** A data plane that has not reported for this long receives no new allocation. */
  private static final long REPORT_TIMEOUT_MICROS = 1_500_000;

  private final long incarnation;
  private final Map<String, TenantHolding> holdings = new HashMap<>();
  private long reportedMicros;
  private long sentMicros = Long.MIN_VALUE;
  private long lastNumber;
  private boolean following;
  private boolean countsOnly;
  private boolean waiting;

  QuotaHolder(long incarnation) {
    this.incarnation = incarnation;
  }

  /**
   * Returns whether the data plane sent the report no later than the newest report that was
   * received.
   */
  boolean isOutdated(QuotaReport report) {
    return !report.isCountsOnly() && report.sentMicros() <= sentMicros;
  }

  /** Records that a report has arrived, whichever allocator the data plane follows. */
  void recordReport(long nowMicros, QuotaReport report) {
    reportedMicros = nowMicros;
    sentMicros = report.sentMicros();
    countsOnly = report.isCountsOnly();
    waiting = report.waiting();
  }

  /** Takes over the demand from a report of a data plane that follows this allocator. */
  void update(QuotaReport report) {
    boolean inherits = !following;
    following = true;
    holdings.values().forEach(TenantHolding::clearDemand);
    for (TenantDemand demand : report.tenants()) {
      TenantHolding holding = holding(demand.tenant());
      if (inherits) {
        holding.inherit(demand);
      } else {
        holding.updateDemand(demand);
      }
    }
    holdings.values().forEach(holding -> holding.confirm(report.appliedNumber()));
  }

  /**
   * Returns whether the data plane follows this allocator. Only then are its holdings known, and
   * only then can no other allocator change them.
   */
  boolean followsThisAllocator() {
    return following;
  }

  /** Returns whether everything that the process holds is known. */
  boolean isKnown() {
    return following || countsOnly;
  }

  /** Returns whether the process may receive new allocations. */
  boolean isLive(long nowMicros) {
    return following && hasReportedRecently(nowMicros);
  }

  boolean hasReportedRecently(long nowMicros) {
    return nowMicros - reportedMicros <= REPORT_TIMEOUT_MICROS;
  }

  boolean isUnresponsiveFor(long micros, long nowMicros) {
    return nowMicros - reportedMicros > micros;
  }

  void endLease() {
    holdings.values().forEach(TenantHolding::endLease);
  }

  /**
   * Returns what the process holds of the tenant's quota; creates an empty holding if there is
   * none.
   */
  TenantHolding holding(String tenant) {
    return holdings.computeIfAbsent(tenant, name -> new TenantHolding());
  }

  Map<String, TenantHolding> holdings() {
    return holdings;
  }

  /**
   * Returns the number of the next allocation and records that this allocation sends all fractions
   * that are assigned now.
   */
  long nextAllocation() {
    lastNumber++;
    holdings.values().forEach(holding -> holding.recordSent(lastNumber));
    waiting = false;
    return lastNumber;
  }

  long reportedMicros() {
    return reportedMicros;
  }

  long incarnation() {
    return incarnation;
  }

  long sentMicros() {
    return sentMicros;
  }

  /** Returns whether the version of the data plane does not support leases. */
  boolean isCountsOnly() {
    return countsOnly;
  }

  /** Returns whether requests at the data plane wait for the response to its newest report. */
  boolean hasWaitingRequests() {
    return waiting;
  }
}
