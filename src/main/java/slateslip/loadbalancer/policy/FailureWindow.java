package slateslip.loadbalancer.policy;

import java.util.Arrays;

/** Counts failures and requests of one server over a sliding window of equal slots. */
final class FailureWindow {
  /** Number of slots; the window slides in steps of one slot. */
  static final int SLOTS = 10;

  private final int[] failures = new int[SLOTS];
  private final int[] totals = new int[SLOTS];
  private long slot;
  private int failed;
  private int total;

  /** Records one outcome; {@code now} and the window's {@code length} are in microseconds. */
  void add(long now, long length, boolean failure) {
    slideTo(now, length);
    int index = (int) (slot % SLOTS);
    totals[index]++;
    total++;
    if (failure) {
      failures[index]++;
      failed++;
    }
  }

  /** Removes outcomes older than the window; {@code now} and {@code length} are in microseconds. */
  void slideTo(long now, long length) {
    long newest = now / (length / SLOTS);
    for (long expired = Math.max(slot + 1, newest - SLOTS + 1); expired <= newest; expired++) {
      int index = (int) (expired % SLOTS);
      total -= totals[index];
      failed -= failures[index];
      totals[index] = 0;
      failures[index] = 0;
    }
    slot = newest;
  }

  void clear() {
    Arrays.fill(failures, 0);
    Arrays.fill(totals, 0);
    failed = 0;
    total = 0;
  }

  int failed() {
    return failed;
  }

  int total() {
    return total;
  }
}
