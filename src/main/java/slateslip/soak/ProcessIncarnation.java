package slateslip.soak;

/**
 * One incarnation of a process, with the times of its signals and its exit. Written by one thread
 * at a time and read by any thread. All times are in milliseconds.
 */
final class ProcessIncarnation {
  private static final long NEVER = Long.MAX_VALUE;

  private final String name;
  private final long graceMillis;
  private volatile long stoppedMillis = NEVER;
  private volatile long killedMillis = NEVER;
  private volatile long endedMillis = NEVER;

  /**
   * Creates the record of an incarnation that is about to start.
   *
   * @param name name of the process and number of the incarnation, separated by a slash
   * @param graceMillis grace period after SIGTERM
   */
  ProcessIncarnation(String name, long graceMillis) {
    this.name = name;
    this.graceMillis = graceMillis;
  }

  String name() {
    return name;
  }

  /** Records that SIGTERM was sent. Only the time of the first SIGTERM is kept. */
  void recordStop(long nowMillis) {
    stoppedMillis = Math.min(stoppedMillis, nowMillis);
  }

  /** Records that SIGKILL was sent. */
  void recordKill(long nowMillis) {
    killedMillis = nowMillis;
  }

  void recordExit(long nowMillis) {
    endedMillis = nowMillis;
  }

  boolean isStopping() {
    return stoppedMillis != NEVER;
  }

  /**
   * Returns whether the process was killed by SIGKILL before the given time as part of the plan.
   * Such a crash excuses every incomplete request. A kill because the process exceeded its grace
   * period does not count.
   */
  boolean crashedBefore(long millis) {
    return killedMillis <= millis && !exceededGracePeriod();
  }

  /** Returns whether the process was killed because it did not exit within its grace period. */
  boolean exceededGracePeriod() {
    return stoppedMillis != NEVER
        && killedMillis != NEVER
        && killedMillis - stoppedMillis >= graceMillis;
  }

  /** Returns whether the process exited without having received SIGTERM or SIGKILL. */
  boolean exitedUnexpectedly() {
    return endedMillis != NEVER && stoppedMillis == NEVER && killedMillis == NEVER;
  }

  /**
   * Returns whether the response to a request may be truncated: the request was sent at most three
   * seconds after SIGTERM, and ended in the last sixth of the grace period or later.
   */
  boolean mayTruncateResponse(long sentMillis, long endMillis) {
    boolean inTime =
        stoppedMillis != NEVER && sentMillis <= stoppedMillis + SoakChecker.SENT_AFTER_STOP_MILLIS;
    return inTime && endMillis >= stoppedMillis + graceMillis * 5 / 6;
  }

  @Override
  public String toString() {
    return name
        + (stoppedMillis == NEVER ? "" : " stopped=" + stoppedMillis)
        + (killedMillis == NEVER ? "" : " killed=" + killedMillis)
        + (endedMillis == NEVER ? "" : " ended=" + endedMillis);
  }
}
