package slateslip.simulation;

import java.util.PriorityQueue;

/**
 * The clock and the event queue of a simulation: runs actions in order of time, and actions with
 * the same time in order of insertion.
 */
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

  /** Returns the simulated time in microseconds. */
  public long nowMicros() {
    return now;
  }

  /** Returns a hash of the times of all events that have run; equal runs have equal hashes. */
  public long digest() {
    return digest;
  }

  /**
   * Schedules an action at a time in microseconds, or at the current time if that time has passed.
   */
  public void at(long micros, Runnable action) {
    events.add(new Event(Math.max(now, micros), number++, action));
  }

  /** Schedules an action after a delay in microseconds. */
  public void after(long micros, Runnable action) {
    at(now + micros, action);
  }

  /**
   * Runs all actions that are due up to and including a time in microseconds, then sets the clock
   * to that time.
   */
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
