package slateslip.routing;

/**
 * When a router is to look at its backends and overdue responses again, and which wake-ups it has
 * asked its host for. Times are in microseconds.
 */
final class WakeSchedule {
  /**
   * Backends and overdue responses are looked at only at multiples of this time: what is due at
   * about the same time is looked at in one turn, and in that of the host's other periodic work.
   */
  static final long CHECK_GRID_MICROS = 100_000;

  private long lastCheckMicros = Long.MIN_VALUE;
  private long nextCheckMicros = Long.MIN_VALUE;

  /** The earliest wake-up that was asked for and has not come yet. */
  private long nextWakeMicros = Long.MAX_VALUE;

  /** Whether backends and overdue responses are to be looked at now. */
  boolean checkDue(long nowMicros) {
    return nowMicros >= nextCheckMicros;
  }

  /** They are looked at now, and not again before something asks for it. */
  void checked(long nowMicros) {
    lastCheckMicros = nowMicros;
    nextCheckMicros = Long.MAX_VALUE;
  }

  /**
   * Something is to be looked at again at this time, or at the next on the grid after it and after
   * the last look.
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
   * Whether a wake-up has to be asked for: none that was asked for comes early enough.
   *
   * @param requestEndMicros when the next request ends; {@link Long#MAX_VALUE} if there is none
   */
  boolean needsWake(long nowMicros, long requestEndMicros) {
    if (nowMicros >= nextWakeMicros) {
      nextWakeMicros = Long.MAX_VALUE;
    }
    long due = Math.min(nextCheckMicros, requestEndMicros);
    if (due >= nextWakeMicros) {
      return false;
    }
    nextWakeMicros = due;
    return true;
  }

  /** The earliest wake-up that was asked for and has not come yet. */
  long nextWakeMicros() {
    return nextWakeMicros;
  }
}
