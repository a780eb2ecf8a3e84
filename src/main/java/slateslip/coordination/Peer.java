package slateslip.coordination;

/**
 * State that the primary keeps for another node: its last status, its acknowledgements and its
 * health.
 */
final class Peer {
  private static final long NEVER_MICROS = Long.MIN_VALUE / 4;
  private static final long BYTES_PER_MEGABYTE = 1 << 20;

  final NodeId node;
  private final long knownSinceMicros;
  ReplicaStatus status;
  long lastReceivedMicros = NEVER_MICROS;
  long acknowledgedSentMicros = NEVER_MICROS;
  long confirmedRound;
  long healthySinceMicros = Long.MAX_VALUE;
  int dropCount;
  long droppedAtMicros = NEVER_MICROS;
  PrimaryTerm sentTerm = PrimaryTerm.NONE;
  long sentSequence;
  long sentRound;
  private boolean inTransfer;
  private long lastTransferProgressMicros = NEVER_MICROS;
  private boolean awaitingDurable;
  private long awaitingDurableSinceMicros;
  private long durableTimeoutMicros;

  /**
   * Creates the entry of a node that the primary has known since the given steady time in
   * microseconds.
   */
  Peer(NodeId node, long knownSinceMicros) {
    this.node = node;
    this.knownSinceMicros = knownSinceMicros;
  }

  /** Returns the location that the peer has reported. */
  NodeLocation location() {
    return status == null ? NodeLocation.UNKNOWN : status.location();
  }

  /** Clears the state that refers to messages sent in an earlier term. */
  void beginTerm() {
    confirmedRound = 0;
    sentTerm = PrimaryTerm.NONE;
    awaitingDurable = false;
  }

  /**
   * Records that a state transfer or a record was sent, which the peer must write to disk before a
   * timeout. The timeout grows with the number of bytes sent.
   */
  void sent(PrimaryTerm term, long sequence, long round, long bytes, long nowMicros) {
    sentTerm = term;
    sentSequence = sequence;
    sentRound = round;
    if (!awaitingDurable) {
      awaitingDurable = true;
      awaitingDurableSinceMicros = nowMicros;
      durableTimeoutMicros = ReplicationTimeouts.APPEND_TIMEOUT_MICROS;
    }
    durableTimeoutMicros +=
        bytes * ReplicationTimeouts.TRANSFER_TIMEOUT_PER_MB_MICROS / BYTES_PER_MEGABYTE;
  }

  /**
   * Records the progress of the messages to the peer. The time within which the peer must have them
   * on disk begins again with each progress, because the link may be slow.
   *
   * @param round the newest heartbeat round; the reply to a later one shows whether the messages
   *     have arrived
   */
  void transferProgressed(boolean stillInTransfer, long round, long nowMicros) {
    inTransfer = stillInTransfer;
    lastTransferProgressMicros = nowMicros;
    sentRound = round;
    awaitingDurableSinceMicros = nowMicros;
  }

  /** Returns whether a message to the peer is still being delivered and makes progress. */
  boolean inTransfer(long nowMicros) {
    return inTransfer
        && nowMicros - lastTransferProgressMicros < ReplicationTimeouts.TRANSFER_TIMEOUT_MICROS;
  }

  /**
   * Returns whether the peer has all records up to the sequence number on disk in the given term,
   * and has neither adopted nor accepted a later view.
   */
  boolean hasDurable(PrimaryTerm term, long sequence) {
    return status != null
        && status.durableTerm().equals(term)
        && status.durableSequence() >= sequence
        && status.decidedEpoch() <= term.epoch()
        && !status.acceptedNewerView();
  }

  /**
   * Stops waiting for a durable write of the peer if the last record that was sent is on the peer's
   * disk.
   */
  void updateAwaitingDurable(PrimaryTerm term) {
    if (hasDurable(term, sentSequence)) {
      awaitingDurable = false;
    }
  }

  boolean durableOverdue(long nowMicros) {
    return awaitingDurable && nowMicros - awaitingDurableSinceMicros > durableTimeoutMicros;
  }

  /**
   * Returns the time in microseconds since the last acknowledged heartbeat was sent, counted from
   * the start of this node's leadership at the earliest.
   */
  long microsSinceAcknowledgement(long nowMicros, long leadingSinceMicros) {
    return nowMicros - Math.max(acknowledgedSentMicros, leadingSinceMicros);
  }

  /**
   * Returns the time in microseconds since the last acknowledged heartbeat was sent, across all
   * terms of this node's leadership, counted from the time at which the peer became known at the
   * earliest.
   */
  long unresponsiveMicros(long nowMicros) {
    return nowMicros - Math.max(acknowledgedSentMicros, knownSinceMicros);
  }

  /**
   * Returns whether the peer responds, its disk works, and its process has not been asked to end.
   */
  boolean healthy(long nowMicros, long leadingSinceMicros) {
    return microsSinceAcknowledgement(nowMicros, leadingSinceMicros)
            < ReplicationTimeouts.PEER_TIMEOUT_MICROS
        && (status == null || status.healthy())
        && !durableOverdue(nowMicros);
  }

  /**
   * Updates the time since which the peer has been healthy, and resets the drop count after a long
   * healthy period.
   */
  void updateHealth(long nowMicros, long leadingSinceMicros) {
    boolean everAcknowledged = acknowledgedSentMicros > NEVER_MICROS;
    if (!everAcknowledged || !healthy(nowMicros, leadingSinceMicros)) {
      healthySinceMicros = Long.MAX_VALUE;
    } else if (healthySinceMicros == Long.MAX_VALUE) {
      healthySinceMicros = nowMicros;
    } else if (nowMicros - healthySinceMicros > ReplicationTimeouts.DROP_COUNT_RESET_MICROS) {
      dropCount = 0;
    }
  }

  long healthyMicros(long nowMicros) {
    return healthySinceMicros == Long.MAX_VALUE ? 0 : nowMicros - healthySinceMicros;
  }

  /**
   * Returns the time in microseconds for which the peer must be healthy before it may join the
   * view. The time doubles with each drop after the first one, up to a limit.
   */
  long joinDelayMicros() {
    if (dropCount == 0) {
      return ReplicationTimeouts.JOIN_DELAY_MICROS;
    }
    return ReplicationTimeouts.REJOIN_DELAY_MICROS
        << Math.min(dropCount - 1, ReplicationTimeouts.MAX_REJOIN_DOUBLINGS);
  }

  void recordDrop(long nowMicros) {
    dropCount++;
    droppedAtMicros = nowMicros;
  }
}
