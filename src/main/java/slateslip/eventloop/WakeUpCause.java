package slateslip.eventloop;

import java.util.Locale;

/** What an event loop was woken up for: the first thing that it did in that turn. */
public enum WakeUpCause {
  /** Bytes or an end of a client's connection. */
  CLIENT,
  /** Bytes or an end of a backend's connection. */
  BACKEND,
  /** A connection to a backend has come up, or has failed to. */
  BACKEND_CONNECT,
  /** The interval after which running streams are read has passed. */
  STREAM_POLL,
  /** Bytes of a control agent. */
  CONTROL,
  /** Periodic work. */
  PERIODIC,
  /** The router asked to be woken. */
  ROUTER,
  /**
   * Anything else: other timers, tasks of other threads, questions for the state of the process.
   */
  OTHER;

  /** The name of this cause in metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
