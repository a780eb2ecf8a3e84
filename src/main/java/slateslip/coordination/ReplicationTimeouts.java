package slateslip.coordination;

/**
 * Timeouts and intervals in microseconds of the steady clock. The safety of the protocol does not
 * depend on any of these values.
 */
final class ReplicationTimeouts {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Interval between two heartbeat rounds. */
  static final long HEARTBEAT_INTERVAL_MICROS = 100 * MICROS_PER_MILLI;

  /** Time without a response after which a node is unresponsive. */
  static final long PEER_TIMEOUT_MICROS = 700 * MICROS_PER_MILLI;

  /**
   * Time after a heartbeat of the primary during which a witness rejects proposals of other nodes.
   */
  static final long PRIMARY_TIMEOUT_MICROS = 500 * MICROS_PER_MILLI;

  /** Additional time that a node waits after its start before it attempts a failover. */
  static final long STARTUP_GRACE_MICROS = 300 * MICROS_PER_MILLI;

  /**
   * Delay between the failover attempts of the members that may take over, in the order of the
   * view.
   */
  static final long FAILOVER_STAGGER_MICROS = 80 * MICROS_PER_MILLI;

  /** Time within which a member must have a record on disk. */
  static final long APPEND_TIMEOUT_MICROS = 500 * MICROS_PER_MILLI;

  /** Additional time for each MiB of a state transfer or record. */
  static final long TRANSFER_TIMEOUT_PER_MB_MICROS = 500 * MICROS_PER_MILLI;

  /** Time without progress after which a message in transfer to a node may be lost. */
  static final long TRANSFER_TIMEOUT_MICROS = 2_000 * MICROS_PER_MILLI;

  /** Duration of a write above which the disk is unhealthy. */
  static final long DISK_WRITE_TIMEOUT_MICROS = 400 * MICROS_PER_MILLI;

  /** Delay between a failed write and the attempt to write a snapshot of the complete state. */
  static final long DISK_RETRY_DELAY_MICROS = 300 * MICROS_PER_MILLI;

  /** Time after which a proposal that is not decided is abandoned. */
  static final long PROPOSAL_TIMEOUT_MICROS = 400 * MICROS_PER_MILLI;

  /**
   * Time for which a proposer that has a majority of promises waits for the promises of the
   * remaining members.
   */
  static final long PROMISE_GRACE_MICROS = 40 * MICROS_PER_MILLI;

  /** Minimum random backoff before the next proposal. */
  static final long MIN_BACKOFF_MICROS = 30 * MICROS_PER_MILLI;

  /** Maximum random backoff before the next proposal. */
  static final long MAX_BACKOFF_MICROS = 160 * MICROS_PER_MILLI;

  /**
   * Additional delay before the next proposal if witnesses rejected a proposal because the primary
   * is alive.
   */
  static final long REJECTED_BACKOFF_MICROS = 300 * MICROS_PER_MILLI;

  /** Time without a heartbeat of the primary after which a node asks other nodes for the view. */
  static final long HELLO_DELAY_MICROS = 250 * MICROS_PER_MILLI;

  /** Interval between two requests of a node for the view. */
  static final long HELLO_INTERVAL_MICROS = 200 * MICROS_PER_MILLI;

  /**
   * Time for which the primary sends heartbeats to a node outside the view after the last message
   * of the node.
   */
  static final long LEARNER_TIMEOUT_MICROS = 2_000 * MICROS_PER_MILLI;

  /** Time for which a node must have been healthy before it joins the view. */
  static final long JOIN_DELAY_MICROS = 300 * MICROS_PER_MILLI;

  /**
   * Time for which further nodes must have been healthy to join in the same view change as a node
   * that has completed its join delay.
   */
  static final long JOIN_TOGETHER_DELAY_MICROS = 100 * MICROS_PER_MILLI;

  /**
   * Time for which a node that was dropped once must have been healthy before it joins again; the
   * time doubles with each further drop.
   */
  static final long REJOIN_DELAY_MICROS = 1_000 * MICROS_PER_MILLI;

  /** Limits how often the rejoin delay doubles with the drops of a node. */
  static final int MAX_REJOIN_DOUBLINGS = 4;

  /** Time for which a node must have been healthy before its drop count is reset to 0. */
  static final long DROP_COUNT_RESET_MICROS = 30_000 * MICROS_PER_MILLI;

  /** Time for which a witness must have been unresponsive before a joining node may replace it. */
  static final long WITNESS_REPLACEMENT_DELAY_MICROS = 1_500 * MICROS_PER_MILLI;

  /**
   * Time for which a witness must have been unresponsive before the primary removes the witness
   * without a replacement, provided that no other witness is unresponsive and enough witnesses
   * remain. A lost machine stops counting as one of the tolerated losses when its replacement has
   * run for the setting {@code sync_s} (4 s in the users' settings), so the witness of the lost
   * machine must be removed before that time.
   */
  static final long WITNESS_REMOVAL_DELAY_MICROS = 2_000 * MICROS_PER_MILLI;

  /** Time for which the primary retains the drop count of a node outside the view. */
  static final long DROP_COUNT_RETENTION_MICROS = 12_000 * MICROS_PER_MILLI;

  /** Minimum interval between two view changes that the primary initiates. */
  static final long MIN_VIEW_CHANGE_INTERVAL_MICROS = 100 * MICROS_PER_MILLI;

  /** Time after a resignation before the primary may become active again or resign again. */
  static final long RESIGNATION_MICROS = 1_000 * MICROS_PER_MILLI;

  /** Interval between two reviews of the health of the peers. */
  static final long REVIEW_INTERVAL_MICROS = 20 * MICROS_PER_MILLI;

  /** Maximum interval between two wake-ups of the replica. */
  static final long MAX_TICK_INTERVAL_MICROS = 50 * MICROS_PER_MILLI;

  /** Time within which the primary responds to a client's request. */
  static final long REQUEST_TIMEOUT_MICROS = 2_500 * MICROS_PER_MILLI;

  private ReplicationTimeouts() {}
}
