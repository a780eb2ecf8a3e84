package slateslip.distribution.sessions;

/** The effect of a backend's heartbeat on the session table. */
public enum HeartbeatResult {
  /** The heartbeat changed what data planes see. The change has to be replicated at once. */
  CHANGED,
  /**
   * The heartbeat renewed a session whose previous heartbeats went to another agent. A peer may
   * have missed updates from that agent, so the session has to be replicated with its full entry.
   */
  ADOPTED,
  /** The heartbeat renewed the session. The renewal is replicated in the next batch. */
  RENEWED,
  /**
   * The heartbeat changed nothing: it is older than the known state, its incarnation has ended, or
   * a newer live incarnation uses its address.
   */
  STALE
}
