package slateslip.eventloop;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the turns (iterations) of an event loop by cause. The first cause that is reported in a
 * turn is the cause of that turn. The counter must only be used by the thread of the event loop.
 */
public final class WakeUpCounter {
  private final Map<WakeUpCause, Count> byCause = new EnumMap<>(WakeUpCause.class);
  private boolean causePending;

  private static final class Count {
    private long turns;
  }

  /** Creates a counter with a count of 0 for every cause. */
  public WakeUpCounter() {
    for (WakeUpCause cause : WakeUpCause.values()) {
      byCause.put(cause, new Count());
    }
  }

  /**
   * Begins a turn. If no cause was reported for the previous turn, that turn counts under {@link
   * WakeUpCause#OTHER}.
   */
  void beginTurn() {
    if (causePending) {
      byCause.get(WakeUpCause.OTHER).turns++;
    }
    causePending = true;
  }

  /** Reports the cause of the current turn; only the first call in a turn counts. */
  public void attribute(WakeUpCause cause) {
    if (causePending) {
      causePending = false;
      byCause.get(cause).turns++;
    }
  }

  /** Returns the number of turns with this cause since the counter was created. */
  public long count(WakeUpCause cause) {
    return byCause.get(cause).turns;
  }

  /** Returns the number of turns whose cause is known. */
  public long total() {
    long total = 0;
    for (Count count : byCause.values()) {
      total += count.turns;
    }
    return total;
  }
}
