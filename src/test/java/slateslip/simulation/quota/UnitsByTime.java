package slateslip.simulation.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/** Records units with ascending times and finds the window with the most units. */
final class UnitsByTime {
  private record Entry(long atMicros, long units) {}

  private final Deque<Entry> entries = new ArrayDeque<>();

  void add(long atMicros, long units) {
    entries.addLast(new Entry(atMicros, units));
  }

  /** Returns the largest number of units in any window of this length. */
  long worstWindow(long windowMicros) {
    Deque<Entry> window = new ArrayDeque<>();
    long sum = 0;
    long worst = 0;
    for (Entry entry : entries) {
      window.addLast(entry);
      sum += entry.units();
      while (window.peekFirst().atMicros() <= entry.atMicros() - windowMicros) {
        sum -= window.removeFirst().units();
      }
      worst = Math.max(worst, sum);
    }
    return worst;
  }
}
