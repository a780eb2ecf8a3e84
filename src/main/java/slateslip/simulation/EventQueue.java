package slateslip.simulation;

import java.util.PriorityQueue;

/** Simulated time: actions in the order of their times, those of one time in the order given. */
public final class EventQueue {
  private static final long DIGEST_FACTOR = 1_000_003;

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
  private long digest;

  /** Simulated time in microseconds. */
  public long nowMicros() {
    return now;
  }

  /** Hash of the times of all events that have run; equal for equal runs. */
  public long digest() {
    return digest;
  }

  /** Runs an action at a time, or now if that has passed. */
  public void at(long micros, Runnable action) {
    events.add(new Event(Math.max(now, micros), number++, action));
  }

  /** Runs an action after some time. */
  public void after(long micros, Runnable action) {
    at(now + micros, action);
  }

  /** Runs what is due until a time; the clock then shows that time. */
  public void runUntil(long micros) {
    while (!events.isEmpty() && events.peek().atMicros() <= micros) {
      Event event = events.poll();
      now = event.atMicros();
      digest = digest * DIGEST_FACTOR + now;
      event.action().run();
    }
    now = Math.max(now, micros);
  }
}
