package slateslip.settings;

import sun.misc.Signal;

/**
 * Handles SIGHUP, which requests a reload of the settings. Creating the object installs the
 * handler, because an unhandled SIGHUP would end the process and lose all requests that it has
 * read. A signal that arrives before {@link #start} is handled by {@link #start}.
 */
public final class ReloadSignal {
  private Runnable reload;
  private boolean pending;

  /** Installs the signal handler. */
  public ReloadSignal() {
    Signal.handle(new Signal("HUP"), signal -> received());
  }

  private synchronized void received() {
    if (reload == null) {
      pending = true;
    } else {
      reload.run();
    }
  }

  /**
   * Sets the action that each later signal runs. Runs the action immediately if a signal has
   * arrived before.
   */
  public synchronized void start(Runnable action) {
    reload = action;
    if (pending) {
      pending = false;
      action.run();
    }
  }
}
