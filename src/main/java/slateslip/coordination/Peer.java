package slateslip.coordination;

/** What the primary knows of another node. */
final class Peer {
  private static final long NEVER_MICROS = Long.MIN_VALUE / 4;
  private static final long BYTES_PER_MEGABYTE = 1 << 20;

  final NodeId node;
  private final long knownSinceMicros;
  ReplicaStatus status;
  long lastHeardMicros = NEVER_MICROS;
  long acknowledgedSentMicros = NEVER_MICROS;
  long confirmedRound;
  long healthySinceMicros = Long.MAX_VALUE;
  int dropCount;
  long droppedAtMicros = NEVER_MICROS;
  PrimaryTerm sentTerm = PrimaryTerm.NONE;
  long sentSequence;
  long sentRound;
  private boolean awaitingDurable;
  private long awaitingDurableSinceMicros;
  private long durableTimeoutMicros;

  /** A node, known since a time. */
  Peer(NodeId node, long knownSinceMicros) {
    this.node = node;
    this.knownSinceMicros = knownSinceMicros;
  }

  /** Forgets what was sent in another term. */
  void beginTerm() {
    confirmedRound = 0;
    sentTerm = PrimaryTerm.NONE;
    awaitingDurable = false;
  }

  /** Something was sent that must reach the disk. */
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

  /** Whether all up to a record is on its disk in that term, and it follows no later view. */
  boolean hasDurable(PrimaryTerm term, long sequence) {
    return status != null
        && status.durableTerm().equals(term)
        && status.durableSequence() >= sequence
        && status.decidedEpoch() <= term.epoch()
        && !status.acceptedNewerView();
  }

  /** Notes whether it still owes what was sent last. */
  void updateAwaitingDurable(PrimaryTerm term) {
    if (hasDurable(term, sentSequence)) {
      awaitingDurable = false;
    }
  }

  boolean durableOverdue(long nowMicros) {
    return awaitingDurable && nowMicros - awaitingDurableSinceMicros > durableTimeoutMicros;
  }

  /** How long no response has come to what was sent. */
  long microsSinceAcknowledgement(long nowMicros, long leadingSinceMicros) {
    return nowMicros - Math.max(acknowledgedSentMicros, leadingSinceMicros);
  }

  /** How long no response has come, over all terms of this leader. */
  long microsUnheard(long nowMicros) {
    return nowMicros - Math.max(acknowledgedSentMicros, knownSinceMicros);
  }

  /** Whether it answers, its disk works, and it is to stay. */
  boolean healthy(long nowMicros, long leadingSinceMicros) {
    return microsSinceAcknowledgement(nowMicros, leadingSinceMicros)
            < ReplicationTimeouts.PEER_TIMEOUT_MICROS
        && (status == null || status.healthy())
        && !durableOverdue(nowMicros);
  }

  /** Keeps the time since which it has been well. */
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

  /** How long it must be well before it is taken in, longer each time that it was dropped. */
  long joinDelayMicros() {
    if (dropCount == 0) {
      return ReplicationTimeouts.JOIN_DELAY_MICROS;
    }
    return ReplicationTimeouts.REJOIN_DELAY_MICROS
        << Math.min(dropCount - 1, ReplicationTimeouts.MAX_REJOIN_DOUBLINGS);
  }

  void dropped(long nowMicros) {
    dropCount++;
    droppedAtMicros = nowMicros;
  }
}
