package slateslip.controlplane.agent;

/** Steady time and timers of the event loop that a control agent is confined to. */
public interface Scheduler {
  /** Steady time in microseconds; never below 1. */
  long nowMicros();

  /** Runs a task once on the event loop, after a delay in microseconds. */
  Timer schedule(long delayMicros, Runnable task);

  /** Runs a task on the event loop over and over, with a period in microseconds. */
  void scheduleAtFixedRate(long periodMicros, Runnable task);

  /** A task that is scheduled. */
  interface Timer {
    /** The task does not run any more. */
    void cancel();
  }
}
