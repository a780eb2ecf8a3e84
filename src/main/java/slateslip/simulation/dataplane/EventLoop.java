package slateslip.simulation.dataplane;

import java.util.PriorityQueue;

/** Simulated time: runs what was scheduled in the order of its time, then of its scheduling. */
final class EventLoop {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMicros;
  private long scheduled;

  /** The present, in microseconds since the world began. */
  long nowMicros() {
    return nowMicros;
  }

  /** Runs an action at a time; a time that has passed means now. */
  void at(long atMicros, Runnable action) {
    events.add(new Event(Math.max(nowMicros, atMicros), scheduled++, action));
  }

  /** Runs an action after a delay. */
  void after(long delayMicros, Runnable action) {
    at(nowMicros + delayMicros, action);
  }

  /** Runs everything up to and including a time. */
  void runUntil(long endMicros) {
    while (!events.isEmpty() && events.peek().atMicros <= endMicros) {
      Event next = events.poll();
      nowMicros = next.atMicros;
      next.action.run();
    }
    nowMicros = endMicros;
  }

  private record Event(long atMicros, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
