package slateslip.coordination;

/** What the primary knows of another node. */
final class Peer {
  private static final long NEVER = Long.MIN_VALUE / 4;
  private static final long MEGABYTE = 1 << 20;

  final NodeId node;
  private final long knownSince;
  ReplicaStatus status;
  long heardAt = NEVER;
  long echoedSentAt = NEVER;
  long cleanRound;
  long wellSince = Long.MAX_VALUE;
  int drops;
  long droppedAt = NEVER;
  PrimaryTerm sentTenure = PrimaryTerm.NONE;
  long sentSequence;
  long sentRound;
  private boolean owes;
  private long owesSince;
  private long owesBound;

  /** A node, known since a time. */
  Peer(NodeId node, long knownSince) {
    this.node = node;
    this.knownSince = knownSince;
  }

  /** Forgets what was sent in another tenure. */
  void beginTenure() {
    cleanRound = 0;
    sentTenure = PrimaryTerm.NONE;
    owes = false;
  }

  /** Something was sent that must reach the disk. */
  void sent(PrimaryTerm tenure, long sequence, long round, long bytes, long now) {
    sentTenure = tenure;
    sentSequence = sequence;
    sentRound = round;
    if (!owes) {
      owes = true;
      owesSince = now;
      owesBound = ReplicationTimeouts.APPEND_BOUND;
    }
    owesBound += bytes * ReplicationTimeouts.TRANSFER_PER_MB / MEGABYTE;
  }

  /** Whether all up to a record is on its disk in that tenure, and it follows no later view. */
  boolean hasDurable(PrimaryTerm tenure, long sequence) {
    return status != null
        && status.durable().equals(tenure)
        && status.durableSequence() >= sequence
        && status.decidedEpoch() <= tenure.epoch()
        && !status.acceptedLater();
  }

  /** Notes whether it still owes what was sent last. */
  void settle(PrimaryTerm tenure) {
    if (hasDurable(tenure, sentSequence)) {
      owes = false;
    }
  }

  boolean overdue(long now) {
    return owes && now - owesSince > owesBound;
  }

  /** How long no answer has come to what was sent. */
  long silentFor(long now, long leadingSince) {
    return now - Math.max(echoedSentAt, leadingSince);
  }

  /** How long no answer has come, over all tenures of this leader. */
  long unheardFor(long now) {
    return now - Math.max(echoedSentAt, knownSince);
  }

  /** Whether it answers, its disk works, and it is to stay. */
  boolean well(long now, long leadingSince) {
    return silentFor(now, leadingSince) < ReplicationTimeouts.SILENCE
        && (status == null || status.fit())
        && !overdue(now);
  }

  /** Keeps the time since which it has been well. */
  void watch(long now, long leadingSince) {
    boolean heard = echoedSentAt > NEVER;
    if (!heard || !well(now, leadingSince)) {
      wellSince = Long.MAX_VALUE;
    } else if (wellSince == Long.MAX_VALUE) {
      wellSince = now;
    } else if (now - wellSince > ReplicationTimeouts.DROPS_FORGOTTEN) {
      drops = 0;
    }
  }

  long wellFor(long now) {
    return wellSince == Long.MAX_VALUE ? 0 : now - wellSince;
  }

  /** How long it must be well before it is taken in, longer each time that it was dropped. */
  long patience() {
    if (drops == 0) {
      return ReplicationTimeouts.JOIN_AFTER;
    }
    return ReplicationTimeouts.REJOIN_AFTER
        << Math.min(drops - 1, ReplicationTimeouts.REJOIN_DOUBLINGS);
  }

  void dropped(long now) {
    drops++;
    droppedAt = now;
  }
}
