package slateslip.eventloop;

/**
 * Counts the turns of an event loop, each by the cause that was told first in it. Confined to the
 * event loop.
 */
public final class WakeUpCounter {
  private final long[] byCause = new long[WakeUpCause.values().length];
  private boolean turnOpen;

  /** A turn begins; the one before it, if nothing was told of it, was for another cause. */
  void turnBegins() {
    if (turnOpen) {
      byCause[WakeUpCause.OTHER.ordinal()]++;
    }
    turnOpen = true;
  }

  /** Tells what is being done; only the first call in a turn counts. */
  public void attribute(WakeUpCause cause) {
    if (turnOpen) {
      turnOpen = false;
      byCause[cause.ordinal()]++;
    }
  }

  /** Turns for this cause since the start. */
  public long count(WakeUpCause cause) {
    return byCause[cause.ordinal()];
  }

  /** All turns that have ended. */
  public long total() {
    long total = 0;
    for (long count : byCause) {
      total += count;
    }
    return total;
  }
}
