package slateslip.distribution.quota;

import slateslip.distribution.QuotaReport;

/**
 * Tracks whether a new allocator has learned from reports everything that earlier allocators
 * allocated. Until then, the allocator may only move what the reporting data planes already hold.
 * Times are in microseconds of the allocator's clock.
 */
final class AllocationRecovery {
  /** How long a new allocator collects reports before it evaluates them. */
  private static final long WARMUP_MICROS = 800_000;

  private final long startedMicros;
  private final long windowMicros;
  private boolean complete;
  private int expectedHolders;

  /** The start time of the youngest data plane process. */
  private long lastRestartMicros;

  private boolean anyReported;

  /** Whether the first report of any data plane named an earlier allocator. */
  private boolean predecessorReported;

  private boolean allHoldersReported;

  /**
   * Creates a recovery for which no data plane has reported.
   *
   * @param firstAllocator whether there was no earlier allocator, so that there is nothing to
   *     recover
   */
  AllocationRecovery(long startedMicros, long windowMicros, boolean firstAllocator) {
    this.startedMicros = startedMicros;
    this.windowMicros = windowMicros;
    this.complete = firstAllocator;
  }

  /**
   * Records a report of a data plane.
   *
   * @param firstReport whether the allocator does not yet know what this data plane holds
   */
  void recordReport(long nowMicros, QuotaReport report, boolean firstReport) {
    expectedHolders = Math.max(expectedHolders, report.holders());
    if (firstReport) {
      long restartMicros = nowMicros - report.ageMicros();
      lastRestartMicros = anyReported ? Math.max(lastRestartMicros, restartMicros) : restartMicros;
      anyReported = true;
      predecessorReported |= report.epoch() > 0;
    }
  }

  /**
   * Updates whether the recovery is complete.
   *
   * @param knownHolders number of data planes whose holdings the allocator knows
   */
  void update(long nowMicros, int knownHolders) {
    if (complete) {
      return;
    }
    boolean oldHoldingsExpired =
        nowMicros - startedMicros >= QuotaTiming.unresponsiveRetentionMicros(windowMicros);
    allHoldersReported = knownHolders >= expectedHolders;
    boolean holdingsKnown =
        isWarmupOver(nowMicros) && allHoldersReported && isEndedSpendingOver(nowMicros);
    complete = oldHoldingsExpired || holdingsKnown;
  }

  /**
   * Returns whether the spending of all processes that ended before this allocator started has left
   * the window. The time counts from the newest start of a data plane process. If no data plane
   * reports an earlier allocator and no process started recently, processes may have ended at any
   * time until this allocator started, so the time counts from that start.
   */
  private boolean isEndedSpendingOver(long nowMicros) {
    boolean restartKnown =
        hasPredecessor() || lastRestartMicros > startedMicros - endedRetentionMicros();
    long sinceMicros = restartKnown ? lastRestartMicros : startedMicros;
    return anyReported && nowMicros - sinceMicros >= endedRetentionMicros();
  }

  private long endedRetentionMicros() {
    return QuotaTiming.endedRetentionMicros(windowMicros);
  }

  /**
   * Returns the fraction, 0 to 1, of the held-back part of each quota that may be allocated while
   * the spending of ended processes is unknown. The fraction grows from 0 to 1 over one window, so
   * that repeated restarts do not add up: with the age of the youngest data plane process or, if a
   * data plane followed an earlier allocator, which may have allocated its own held-back part, at
   * most with the age of this allocator. The fraction is 0 while an expected data plane has not
   * reported, because that data plane may still spend.
   */
  double releasedFraction(long nowMicros) {
    if (!anyReported || !allHoldersReported) {
      return 0;
    }
    long sinceMicros =
        predecessorReported ? Math.max(lastRestartMicros, startedMicros) : lastRestartMicros;
    double released = (double) (nowMicros - sinceMicros) / windowMicros;
    return Math.min(1, Math.max(0, released));
  }

  boolean isWarmupOver(long nowMicros) {
    return complete || nowMicros - startedMicros >= WARMUP_MICROS;
  }

  /** Returns whether the allocator knows everything that earlier allocators allocated. */
  boolean isComplete() {
    return complete;
  }

  /** Returns whether a data plane has reported how many holders an earlier allocator had. */
  boolean hasPredecessor() {
    return expectedHolders > 0;
  }

  /**
   * Returns how many data planes hold a part of the quotas, as far as is known; 0 if the number is
   * not known.
   */
  int holders(int knownHolders) {
    return complete || hasPredecessor() ? Math.max(expectedHolders(), knownHolders) : 0;
  }

  private int expectedHolders() {
    return complete ? 0 : expectedHolders;
  }
}
