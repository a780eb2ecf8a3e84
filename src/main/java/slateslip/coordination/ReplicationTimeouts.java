package slateslip.coordination;

/** Bounds in microseconds of steady time. None of them matters for safety. */
final class ReplicationTimeouts {
  private static final long MILLI = 1_000;

  /** Between two rounds of heartbeats. */
  static final long HEARTBEAT = 100 * MILLI;

  /** A node that hasn't answered for this long is silent. */
  static final long SILENCE = 700 * MILLI;

  /** A witness that heard the primary within this refuses others' proposals. */
  static final long PRIMARY_ALIVE = 500 * MILLI;

  /** More patience of a node that has just started. */
  static final long START_GRACE = 300 * MILLI;

  /** Between the attempts of the members that might take over. */
  static final long TAKEOVER_STEP = 80 * MILLI;

  /** A member must have a record on disk within this. */
  static final long APPEND_BOUND = 500 * MILLI;

  /** More time for each MB of a state transfer. */
  static final long TRANSFER_PER_MB = 500 * MILLI;

  /** A write that takes longer makes its disk unhealthy. */
  static final long DISK_BOUND = 400 * MILLI;

  /** After a failed write, until the whole state is written anew. */
  static final long DISK_RETRY = 300 * MILLI;

  /** A proposal that isn't decided by then is given up. */
  static final long PROPOSAL_BOUND = 400 * MILLI;

  /** How long a majority of promises waits for the promises of the other members. */
  static final long PROMISE_GRACE = 40 * MILLI;

  /** Least and greatest pause before a proposal is tried again. */
  static final long BACKOFF_LEAST = 30 * MILLI;

  static final long BACKOFF_MOST = 160 * MILLI;

  /** Pause after a witness has said that the primary is alive. */
  static final long REFUSED_PAUSE = 300 * MILLI;

  /** Without a primary for this long, a node asks others for the view. */
  static final long HELLO_AFTER = 250 * MILLI;

  static final long HELLO_INTERVAL = 200 * MILLI;

  /** A node outside the view is served with heartbeats for this long after it was heard. */
  static final long GUEST_KEPT = 2_000 * MILLI;

  /** A node must have been well for this long before it is taken in. */
  static final long JOIN_AFTER = 300 * MILLI;

  /** Others that have been well for this long are taken in along with it. */
  static final long JOIN_ALONG = 100 * MILLI;

  /** The same after it was dropped once; doubled for each further time. */
  static final long REJOIN_AFTER = 1_000 * MILLI;

  static final int REJOIN_DOUBLINGS = 4;

  /** A node that has been well for this long counts as never dropped. */
  static final long DROPS_FORGOTTEN = 30_000 * MILLI;

  /** A witness that is silent for this long may be replaced by a newcomer. */
  static final long WITNESS_REPLACED = 1_500 * MILLI;

  /**
   * The only silent witness is removed after this, if enough are left. A machine whose successor
   * has run for sync_s (4 s in the users' sheets) counts no longer, so it must be gone by then.
   */
  static final long WITNESS_REMOVED = 2_000 * MILLI;

  /** A dropped node is remembered for this long. */
  static final long DROPS_KEPT = 12_000 * MILLI;

  /** Between two changes of the view that the primary wants. */
  static final long CHANGE_PAUSE = 100 * MILLI;

  /** After resigning, until the primary may try to go on. */
  static final long RESIGNED = 1_000 * MILLI;

  /** Between two reviews of who is well. */
  static final long REVIEW = 20 * MILLI;

  /** Longest time between two wake-ups. */
  static final long TICK = 50 * MILLI;

  /** A client's call is answered within this. */
  static final long CALL_BOUND = 2_500 * MILLI;

  private ReplicationTimeouts() {}
}
