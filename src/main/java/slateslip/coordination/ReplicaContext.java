package slateslip.coordination;

import java.util.SplittableRandom;

/** What the parts of one replica share. */
final class ReplicaContext {
  final ReplicaSettings settings;
  final SplittableRandom random;
  final EffectsBuilder outbox;
  final ReplicaStore store;
  final DurableWriteQueue durableWrites;
  NodeId self = NodeId.NONE;
  WitnessState witness = WitnessState.NONE;
  long nowMicros;

  /** Whether the process is about to end. */
  boolean shuttingDown;

  ReplicaContext(ReplicaSettings settings, ReplicatedState state, long randomSeed) {
    this.settings = settings;
    random = new SplittableRandom(randomSeed);
    outbox = new EffectsBuilder(settings.address());
    store = new ReplicaStore(state);
    durableWrites =
        new DurableWriteQueue(outbox, settings.snapshotThresholdBytes(), this::snapshot);
  }

  /** Newest decided view known. */
  View view() {
    return witness.decided();
  }

  boolean isPrimary() {
    return !view().isNone() && view().primary().equals(self);
  }

  /** Members that must have a record before it is committed, at least. */
  int requiredMembers() {
    return settings.faultTolerance() + 1;
  }

  /** Whether this node may lead or be a member: its disk works, and it is to stay. */
  boolean healthy() {
    return !shuttingDown && durableWrites.healthy(nowMicros);
  }

  /** Starts a durable write of what the memory holds already. */
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

  /** What this node tells of itself. */
  ReplicaStatus status() {
    return new ReplicaStatus(
        view().epoch(),
        witness.hasAccepted(),
        store.installed(),
        store.lastSequence(),
        durableWrites.durable().term(),
        durableWrites.durable().sequence(),
        store.appliedSequence(),
        healthy());
  }

  /** A random time in microseconds. */
  long randomBetween(long minMicros, long maxMicros) {
    return random.nextLong(minMicros, maxMicros + 1);
  }
}
