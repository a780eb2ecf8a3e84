package slateslip.eventloop;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the turns of an event loop, each by the cause that was told first in it. Confined to the
 * event loop.
 */
public final class WakeUpCounter {
  private final Map<WakeUpCause, Count> byCause = new EnumMap<>(WakeUpCause.class);
  private boolean turnOpen;

  private static final class Count {
    private long turns;
  }

  /** No turn has been made. */
  public WakeUpCounter() {
    for (WakeUpCause cause : WakeUpCause.values()) {
      byCause.put(cause, new Count());
    }
  }

  /** A turn begins; the one before it, if nothing was told of it, was for another cause. */
  void turnBegins() {
    if (turnOpen) {
      byCause.get(WakeUpCause.OTHER).turns++;
    }
    turnOpen = true;
  }

  /** Tells what is being done; only the first call in a turn counts. */
  public void attribute(WakeUpCause cause) {
    if (turnOpen) {
      turnOpen = false;
      byCause.get(cause).turns++;
    }
  }

  /** Turns for this cause since the start. */
  public long count(WakeUpCause cause) {
    return byCause.get(cause).turns;
  }

  /** All turns that have ended. */
  public long total() {
    long total = 0;
    for (Count count : byCause.values()) {
      total += count.turns;
    }
    return total;
  }
}
