package slateslip.routing.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import slateslip.distribution.quota.QuotaTiming;

/**
 * Units that one tenant has spent at one data plane: the units of pending attempts, and those of
 * attempts that began to run within the sliding window.
 */
final class QuotaWindow {
  private record Run(long expiresMicros, long units) {}

  private final long windowMicros;
  private final Deque<Run> runs = new ArrayDeque<>();
  private long pendingUnits;
  private long spentWindowUnits;
  private long returnedUnits;

  /** Creates a window without any spent units. */
  QuotaWindow(long windowMicros) {
    this.windowMicros = windowMicros;
  }

  QuotaCharge take(long units) {
    pendingUnits += units;
    return new QuotaCharge(this, units);
  }

  /** Moves pending units to the window because a backend began to run their attempt now. */
  void commit(long units, long nowMicros) {
    pendingUnits -= units;
    spentWindowUnits += units;
    runs.addLast(new Run(QuotaTiming.expiryMicros(nowMicros, windowMicros), units));
  }

  /** Releases pending units to the quota because their attempt will not run. */
  void release(long units) {
    pendingUnits -= units;
    returnedUnits += units;
  }

  /** Returns the units that count as spent now. */
  long spentUnits(long nowMicros) {
    removeExpired(nowMicros);
    return pendingUnits + spentWindowUnits;
  }

  /**
   * Returns how many of the units that count now will still count at a later time if no pending
   * units are released.
   */
  long unitsCountingAt(long laterMicros) {
    long units = pendingUnits;
    for (Run run : runs) {
      units += run.expiresMicros() > laterMicros ? run.units() : 0;
    }
    return units;
  }

  /** Returns the total number of units that were released since the start of the process. */
  long returnedUnits() {
    return returnedUnits;
  }

  /**
   * Returns the time in microseconds until at least this many of the units that count now have
   * expired; the length of the window if pending units would have to expire.
   */
  long waitMicros(long units, long nowMicros) {
    removeExpired(nowMicros);
    long remainingUnits = units;
    for (Run run : runs) {
      remainingUnits -= run.units();
      if (remainingUnits <= 0) {
        return run.expiresMicros() - nowMicros;
      }
    }
    return windowMicros;
  }

  private void removeExpired(long nowMicros) {
    while (!runs.isEmpty() && runs.peekFirst().expiresMicros() <= nowMicros) {
      spentWindowUnits -= runs.removeFirst().units();
    }
  }
}
