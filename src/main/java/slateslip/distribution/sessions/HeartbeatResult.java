package slateslip.distribution.sessions;

/** What a backend's call did. */
public enum HeartbeatResult {
  /** It changed what data planes see; to be replicated at once. */
  CHANGED,
  /**
   * It renewed a session that was known from another agent. A peer may have missed what that agent
   * said, so it is to be replicated in full.
   */
  ADOPTED,
  /** It renewed the session; to be replicated with others. */
  RENEWED,
  /** It is older than what is known, or its incarnation has ended: it changed nothing. */
  STALE
}
