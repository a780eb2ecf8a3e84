package slateslip.coordination;

/** Bounds in microseconds of steady time. None of them matters for safety. */
final class ReplicationTimeouts {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Between two rounds of heartbeats. */
  static final long HEARTBEAT_INTERVAL_MICROS = 100 * MICROS_PER_MILLI;

  /** A node that hasn't answered for this long is unresponsive. */
  static final long PEER_TIMEOUT_MICROS = 700 * MICROS_PER_MILLI;

  /** A witness that heard the primary within this refuses others' proposals. */
  static final long PRIMARY_TIMEOUT_MICROS = 500 * MICROS_PER_MILLI;

  /** More patience of a node that has just started. */
  static final long STARTUP_GRACE_MICROS = 300 * MICROS_PER_MILLI;

  /** Between the attempts of the members that might take over. */
  static final long FAILOVER_STAGGER_MICROS = 80 * MICROS_PER_MILLI;

  /** A member must have a record on disk within this. */
  static final long APPEND_TIMEOUT_MICROS = 500 * MICROS_PER_MILLI;

  /** More time for each MB of a state transfer. */
  static final long TRANSFER_TIMEOUT_PER_MB_MICROS = 500 * MICROS_PER_MILLI;

  /** A write that takes longer makes its disk unhealthy. */
  static final long DISK_WRITE_TIMEOUT_MICROS = 400 * MICROS_PER_MILLI;

  /** After a failed write, until the complete state is written anew. */
  static final long DISK_RETRY_DELAY_MICROS = 300 * MICROS_PER_MILLI;

  /** A proposal that isn't decided by then is given up. */
  static final long PROPOSAL_TIMEOUT_MICROS = 400 * MICROS_PER_MILLI;

  /** How long a majority of promises waits for the promises of the other members. */
  static final long PROMISE_GRACE_MICROS = 40 * MICROS_PER_MILLI;

  /** Least and greatest pause before a proposal is tried again. */
  static final long MIN_BACKOFF_MICROS = 30 * MICROS_PER_MILLI;

  static final long MAX_BACKOFF_MICROS = 160 * MICROS_PER_MILLI;

  /** Pause after a witness has said that the primary is alive. */
  static final long REJECTED_BACKOFF_MICROS = 300 * MICROS_PER_MILLI;

  /** Without a primary for this long, a node asks others for the view. */
  static final long HELLO_DELAY_MICROS = 250 * MICROS_PER_MILLI;

  static final long HELLO_INTERVAL_MICROS = 200 * MICROS_PER_MILLI;

  /** A node outside the view is served with heartbeats for this long after it was heard. */
  static final long LEARNER_TIMEOUT_MICROS = 2_000 * MICROS_PER_MILLI;

  /** A node must have been well for this long before it is taken in. */
  static final long JOIN_DELAY_MICROS = 300 * MICROS_PER_MILLI;

  /** Others that have been well for this long are taken in along with it. */
  static final long JOIN_TOGETHER_DELAY_MICROS = 100 * MICROS_PER_MILLI;

  /** The same after it was dropped once; doubled for each further time. */
  static final long REJOIN_DELAY_MICROS = 1_000 * MICROS_PER_MILLI;

  static final int MAX_REJOIN_DOUBLINGS = 4;

  /** A node that has been well for this long counts as never dropped. */
  static final long DROP_COUNT_RESET_MICROS = 30_000 * MICROS_PER_MILLI;

  /** A witness that is unresponsive for this long may be replaced by a joining node. */
  static final long WITNESS_REPLACEMENT_DELAY_MICROS = 1_500 * MICROS_PER_MILLI;

  /**
   * The only unresponsive witness is removed after this, if enough are left. A machine whose
   * successor has run for sync_s (4 s in the users' sheets) counts no longer, so it must be gone by
   * then.
   */
  static final long WITNESS_REMOVAL_DELAY_MICROS = 2_000 * MICROS_PER_MILLI;

  /** A dropped node is remembered for this long. */
  static final long DROP_COUNT_RETENTION_MICROS = 12_000 * MICROS_PER_MILLI;

  /** Between two changes of the view that the primary wants. */
  static final long MIN_VIEW_CHANGE_INTERVAL_MICROS = 100 * MICROS_PER_MILLI;

  /** After resigning, until the primary may try to go on. */
  static final long RESIGNATION_MICROS = 1_000 * MICROS_PER_MILLI;

  /** Between two reviews of who is well. */
  static final long REVIEW_INTERVAL_MICROS = 20 * MICROS_PER_MILLI;

  /** Longest time between two wake-ups. */
  static final long MAX_TICK_INTERVAL_MICROS = 50 * MICROS_PER_MILLI;

  /** A client's call is answered within this. */
  static final long REQUEST_TIMEOUT_MICROS = 2_500 * MICROS_PER_MILLI;

  private ReplicationTimeouts() {}
}
