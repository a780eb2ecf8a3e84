package slateslip.soak;

import java.util.Locale;

/**
 * One planned event of a soak test, such as a restart or a configuration change.
 *
 * @param atMillis time of the event in milliseconds after the start of traffic
 * @param kind kind of the event
 * @param target index of the process; ignored by configuration changes
 */
record PlannedEvent(long atMillis, Kind kind, int target) {
  /** Kind of a planned event. */
  enum Kind {
    /**
     * Sends SIGTERM to a data plane, SIGKILL if it has not exited some seconds after its grace
     * period, and restarts it.
     */
    STOP_DATA_PLANE,
    /**
     * Stops and restarts a data plane like {@link #STOP_DATA_PLANE}, but sends a second SIGTERM
     * shortly after the first.
     */
    STOP_DATA_PLANE_TWICE,
    /** Sends SIGKILL to a data plane and restarts it. */
    KILL_DATA_PLANE,
    /** Sends SIGHUP to a data plane, which reloads its settings. */
    RELOAD_DATA_PLANE,
    /** Sends SIGTERM to a control agent and restarts it with its data on disk. */
    STOP_CONTROL_AGENT,
    /** Sends SIGKILL to a control agent and restarts it with its data on disk. */
    KILL_CONTROL_AGENT,
    /**
     * Sends SIGKILL to a control agent and restarts it at the same address with an empty data
     * folder. The data is kept if another agent was restarted shortly before, because the fleet
     * does not have to tolerate the loss of more than one disk at a time.
     */
    WIPE_CONTROL_AGENT,
    /** Sends a configuration that differs from the current one only in its version. */
    CONFIGURE,
    /**
     * Sends a configuration that removes the optional route and its service, or adds them again.
     */
    CONFIGURE_ROUTE
  }

  @Override
  public String toString() {
    return String.format(Locale.ROOT, "%.3f s %s %d", atMillis / 1e3, kind, target);
  }
}
