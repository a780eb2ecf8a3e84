package slateslip.coordination;

import java.util.SplittableRandom;

/** State and services that the components of one replica share. */
final class ReplicaContext {
  final ReplicaSettings settings;
  final SplittableRandom random;
  final EffectsBuilder outbox;
  final ReplicaStore store;
  final DurableWriteQueue durableWrites;
  NodeId self = NodeId.NONE;
  WitnessState witness = WitnessState.NONE;
  long nowMicros;

  /** Whether the process has been asked to end. */
  boolean shuttingDown;

  ReplicaContext(ReplicaSettings settings, ReplicatedState state, long randomSeed) {
    this.settings = settings;
    random = new SplittableRandom(randomSeed);
    outbox = new EffectsBuilder(settings.address());
    store = new ReplicaStore(state);
    durableWrites =
        new DurableWriteQueue(outbox, settings.snapshotThresholdBytes(), this::snapshot);
  }

  /** Returns the newest decided view that this node knows, or {@link View#NONE}. */
  View view() {
    return witness.decided();
  }

  boolean isPrimary() {
    return !view().isNone() && view().primary().equals(self);
  }

  /** Returns the losses that the control state must survive. */
  FailureTolerance tolerance() {
    return settings.tolerance();
  }

  /**
   * Returns whether this node may be the primary or a member: its disk accepts writes within the
   * time limit, and its process has not been asked to end.
   */
  boolean healthy() {
    return !shuttingDown && durableWrites.healthy(nowMicros);
  }

  /** Starts a durable write of a change that the state in memory already contains. */
  void write(DurableRecord record, long bytes, Runnable then) {
    durableWrites.write(nowMicros, record, bytes, position(), then);
  }

  void writeVote(Runnable then) {
    write(new DurableRecord.Vote(witness), 0, then);
  }

  void retryDurableWrites() {
    durableWrites.retry(nowMicros, position());
  }

  private DurablePosition position() {
    return new DurablePosition(store.installed(), store.lastSequence());
  }

  private DurableRecord.Snapshot snapshot() {
    return new DurableRecord.Snapshot(self, witness, store.installed(), store.completeTransfer());
  }

  /** Returns the status that this node reports to its peers. */
  ReplicaStatus status() {
    return new ReplicaStatus(
        view().epoch(),
        witness.hasAccepted(),
        store.installed(),
        store.lastSequence(),
        durableWrites.durable().term(),
        durableWrites.durable().sequence(),
        store.appliedSequence(),
        healthy(),
        settings.location());
  }

  /** Returns a random duration in microseconds; both bounds are inclusive. */
  long randomBetween(long minMicros, long maxMicros) {
    return random.nextLong(minMicros, maxMicros + 1);
  }
}
