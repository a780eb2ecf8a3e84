package slateslip.distribution.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import slateslip.distribution.Spending;
import slateslip.distribution.TenantDemand;

/**
 * Tracks what one data plane may spend of one tenant's quota, as far as the allocator knows.
 * Fractions refer to the units that the quota permits in a window.
 */
final class TenantHolding {
  private record SentFraction(long firstNumber, double fraction) {}

  /**
   * The fractions that may be in force, oldest first: the last confirmed fraction and those sent
   * since.
   */
  private final Deque<SentFraction> sent = new ArrayDeque<>();

  private Spending spending = Spending.NONE;
  private double needed;
  private double desired;
  private double assigned;
  private boolean exhausted;

  /** Takes over the fraction that an earlier allocator gave to the data plane. */
  void inherit(TenantDemand demand) {
    assigned = demand.allowed();
    sent.clear();
    sent.addLast(new SentFraction(0, demand.allowed()));
    updateDemand(demand);
  }

  /** Takes over the demand that the data plane has reported for the tenant. */
  void updateDemand(TenantDemand demand) {
    spending = demand.spending();
    needed = demand.needed();
    desired = demand.desired();
  }

  /** Clears the demand, because the data plane's report does not name the tenant. */
  void clearDemand() {
    spending = Spending.NONE;
    needed = 0;
    desired = 0;
  }

  /**
   * Records that the allocation of this number is in force at the data plane and that earlier
   * allocations are not.
   */
  void confirm(long number) {
    while (sent.size() > 1 && secondOldest().firstNumber() <= number) {
      sent.removeFirst();
    }
  }

  private SentFraction secondOldest() {
    var oldestFirst = sent.iterator();
    oldestFirst.next();
    return oldestFirst.next();
  }

  /** Records that the allocation of this number sends the assigned fraction to the data plane. */
  void recordSent(long number) {
    if (sent.isEmpty() || sent.peekLast().fraction() != assigned) {
      sent.addLast(new SentFraction(number, assigned));
    }
  }

  /** Records that the data plane's lease has ended: the data plane may spend nothing more. */
  void endLease() {
    sent.clear();
    assigned = 0;
  }

  /**
   * Returns the largest fraction that can count in any window from now on, unless more is assigned.
   * Spent units still count after a fraction has been lowered, and a fraction is in force until the
   * data plane confirms a later one.
   */
  double reserved() {
    double reserved = Math.max(spending.now(), assigned);
    for (SentFraction each : sent) {
      reserved = Math.max(reserved, each.fraction());
    }
    return reserved;
  }

  double spent() {
    return spending.now();
  }

  Spending spending() {
    return spending;
  }

  double needed() {
    return needed;
  }

  double desired() {
    return desired;
  }

  double assigned() {
    return assigned;
  }

  void assign(double fraction) {
    assigned = fraction;
  }

  boolean exhausted() {
    return exhausted;
  }

  void setExhausted(boolean isExhausted) {
    exhausted = isExhausted;
  }
}
