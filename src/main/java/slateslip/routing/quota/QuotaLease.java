package slateslip.routing.quota;

import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.quota.QuotaTiming;

/**
 * Tracks the quota allocator that a data plane accepts and the time until which the latest
 * allocation is valid. Times are in microseconds.
 */
final class QuotaLease {
  private long epoch;
  private long number;
  private long untilMicros = Long.MIN_VALUE;
  private long reportSentMicros = Long.MIN_VALUE;
  private long renewedMicros = Long.MIN_VALUE;
  private int holders;

  /**
   * Renews the lease from an allocation, unless the allocation comes from a former allocator or is
   * older than the latest one.
   *
   * @return whether the tenants' shares of the allocation apply
   */
  boolean renew(QuotaAllocation.Lease lease, long nowMicros) {
    if (lease.epoch() < epoch) {
      return false;
    }
    if (lease.isClaim()) {
      claim(lease);
      return false;
    }
    if (lease.epoch() == epoch && lease.number() <= number) {
      return false;
    }
    epoch = lease.epoch();
    number = lease.number();
    holders = lease.holders();
    reportSentMicros = lease.reportSentMicros();
    untilMicros = lease.reportSentMicros() + QuotaTiming.LEASE_MICROS;
    renewedMicros = nowMicros;
    return true;
  }

  /** Accepts a new allocator; the allocation of the previous allocator stays valid. */
  private void claim(QuotaAllocation.Lease lease) {
    if (lease.epoch() > epoch) {
      epoch = lease.epoch();
      number = 0;
    }
  }

  /**
   * Accepts an allocation without a lease, as control agents of earlier versions send it, if no
   * lease of an allocator is held.
   *
   * @return whether the tenants' shares of the allocation apply
   */
  boolean renewWithoutLease(long nowMicros) {
    if (epoch > 0 && isHeld(nowMicros)) {
      return false;
    }
    untilMicros = nowMicros + QuotaTiming.LEASE_MICROS;
    reportSentMicros = nowMicros;
    renewedMicros = nowMicros;
    return true;
  }

  boolean isHeld(long nowMicros) {
    return nowMicros < untilMicros;
  }

  /**
   * Returns whether the latest allocation takes into account a report that was sent at this time or
   * later.
   */
  boolean coversReportSentAt(long sinceMicros) {
    return reportSentMicros >= sinceMicros;
  }

  /**
   * Returns whether the latest allocation arrived within this time before now. Returns true if none
   * has ever arrived.
   */
  boolean renewedWithin(long micros, long nowMicros) {
    return renewedMicros == Long.MIN_VALUE || nowMicros - renewedMicros <= micros;
  }

  long epoch() {
    return epoch;
  }

  long number() {
    return number;
  }

  int holders() {
    return holders;
  }
}
