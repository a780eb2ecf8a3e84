package slateslip.controlplane.agent;

/**
 * Provides the monotonic time and the timers of the event loop that a control agent is confined to.
 */
public interface Scheduler {
  /** Returns the monotonic time in microseconds; at least 1. */
  long nowMicros();

  /** Runs a task once on the event loop after a delay in microseconds. */
  Timer schedule(long delayMicros, Runnable task);

  /** Runs a task repeatedly on the event loop with a period in microseconds. */
  void scheduleAtFixedRate(long periodMicros, Runnable task);

  /** A scheduled task. */
  interface Timer {
    /** Cancels the task unless the task has already run. */
    void cancel();
  }
}
