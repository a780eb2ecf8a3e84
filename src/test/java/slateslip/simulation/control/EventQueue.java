package slateslip.simulation.control;

import java.util.PriorityQueue;

/** Simulated time: actions in the order of their times, those of one time in the order given. */
final class EventQueue {
  private record Event(long atMicros, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long number;

  long now() {
    return now;
  }

  void at(long micros, Runnable action) {
    events.add(new Event(Math.max(now, micros), number++, action));
  }

  void in(long micros, Runnable action) {
    at(now + micros, action);
  }

  /** Runs what is due until a time; the clock then shows that time. */
  void runUntil(long micros) {
    while (!events.isEmpty() && events.peek().atMicros() <= micros) {
      Event event = events.poll();
      now = event.atMicros();
      event.action().run();
    }
    now = Math.max(now, micros);
  }
}
