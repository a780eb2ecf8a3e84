package slateslip.simulation.dataplane;

import java.util.Arrays;

/** A time series of amounts with sums over arbitrary windows in logarithmic time. */
final class Series {
  private long[] times = new long[64];
  private double[] totals = new double[64];
  private int size;

  /** Adds an amount; {@code atMicros} must not be before the time of the previous amount. */
  void add(long atMicros, double amount) {
    if (size == times.length) {
      times = Arrays.copyOf(times, 2 * size);
      totals = Arrays.copyOf(totals, 2 * size);
    }
    times[size] = atMicros;
    totals[size] = amount + (size == 0 ? 0 : totals[size - 1]);
    size++;
  }

  int size() {
    return size;
  }

  long time(int index) {
    return times[index];
  }

  /**
   * Returns the sum of the amounts after {@code fromMicros} up to and including {@code toMicros}.
   */
  double sum(long fromMicros, long toMicros) {
    return totalUpTo(toMicros) - totalUpTo(fromMicros);
  }

  private double totalUpTo(long micros) {
    int low = 0;
    int high = size;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (times[middle] <= micros) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low == 0 ? 0 : totals[low - 1];
  }
}
