package slateslip.eventloop;

import java.util.Locale;

/**
 * The cause for which an event loop woke up, which is the first action of the event loop in that
 * turn.
 */
public enum WakeUpCause {
  /** Bytes from a client, or the end of a client's connection. */
  CLIENT,
  /** Bytes from a backend, or the end of a connection to a backend. */
  BACKEND,
  /** The success or failure of an attempt to connect to a backend. */
  BACKEND_CONNECT,
  /** The end of the interval between two reads of the open streams. */
  STREAM_POLL,
  /** Bytes on a connection between a control agent and another process of the fleet. */
  CONTROL,
  /** A periodic task. */
  PERIODIC,
  /** A wake-up that the router requested. */
  ROUTER,
  /**
   * Any other cause: other timers, tasks of other threads, or requests for the status of the
   * process.
   */
  OTHER;

  /** Returns the name of this cause in metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
