package slateslip.routing;

/**
 * Schedules the router's checks of its backends and overdue responses, and tracks the wake-ups that
 * the router has requested from its host. Times are in microseconds.
 */
final class WakeSchedule {
  /**
   * Checks take place only at multiples of this interval. Checks that are due at about the same
   * time therefore run together, in the same event loop turn as other periodic work of the host.
   */
  static final long CHECK_GRID_MICROS = 100_000;

  private long lastCheckMicros = Long.MIN_VALUE;
  private long nextCheckMicros = Long.MIN_VALUE;

  /**
   * Time of the earliest requested wake-up that is still pending; {@link Long#MAX_VALUE} if there
   * is none.
   */
  private long nextWakeMicros = Long.MAX_VALUE;

  /** Returns whether a check of backends and overdue responses is due now. */
  boolean checkDue(long nowMicros) {
    return nowMicros >= nextCheckMicros;
  }

  /**
   * Records that a check takes place now. No further check is due until {@link #checkAt} is called.
   */
  void checked(long nowMicros) {
    lastCheckMicros = nowMicros;
    nextCheckMicros = Long.MAX_VALUE;
  }

  /**
   * Schedules a check for the first multiple of {@link #CHECK_GRID_MICROS} that is not before this
   * time and is after the last check.
   */
  void checkAt(long atMicros) {
    nextCheckMicros = Math.min(nextCheckMicros, onGrid(Math.max(atMicros, lastCheckMicros + 1)));
  }

  private static long onGrid(long atMicros) {
    if (atMicros > Long.MAX_VALUE - CHECK_GRID_MICROS) {
      return atMicros;
    }
    return (Math.floorDiv(atMicros - 1, CHECK_GRID_MICROS) + 1) * CHECK_GRID_MICROS;
  }

  /**
   * Returns whether a new wake-up must be requested because no pending wake-up is early enough, and
   * records the new wake-up.
   *
   * @param nextDeadlineMicros earliest deadline of a request; {@link Long#MAX_VALUE} if there is
   *     none
   */
  boolean needsWake(long nowMicros, long nextDeadlineMicros) {
    if (nowMicros >= nextWakeMicros) {
      nextWakeMicros = Long.MAX_VALUE;
    }
    long due = Math.min(nextCheckMicros, nextDeadlineMicros);
    if (due >= nextWakeMicros) {
      return false;
    }
    nextWakeMicros = due;
    return true;
  }

  /**
   * Returns the time of the earliest requested wake-up that is still pending; {@link
   * Long#MAX_VALUE} if there is none.
   */
  long nextWakeMicros() {
    return nextWakeMicros;
  }
}
