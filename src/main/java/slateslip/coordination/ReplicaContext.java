package slateslip.coordination;

import java.util.SplittableRandom;

/** What the parts of one replica share. */
final class ReplicaContext {
  final ReplicaSettings settings;
  final SplittableRandom random;
  final EffectsBuilder outbox;
  final ReplicaStore store;
  final DurableWriteQueue disk;
  NodeId self = NodeId.NONE;
  WitnessState witness = WitnessState.NONE;
  long now;

  /** Whether the process is about to end. */
  boolean leaving;

  ReplicaContext(ReplicaSettings settings, ReplicatedState state, long randomSeed) {
    this.settings = settings;
    random = new SplittableRandom(randomSeed);
    outbox = new EffectsBuilder(settings.address());
    store = new ReplicaStore(state);
    disk = new DurableWriteQueue(outbox, settings.journalBytes(), this::snapshot);
  }

  /** Newest decided view known. */
  View view() {
    return witness.decided();
  }

  boolean isPrimary() {
    return !view().isNone() && view().primary().equals(self);
  }

  /** Members that must have a record before it is committed, at least. */
  int membersNeeded() {
    return settings.faultTolerance() + 1;
  }

  /** Whether this node may lead or be a member: its disk works, and it is to stay. */
  boolean fit() {
    return !leaving && disk.healthy(now);
  }

  /** Starts a durable write of what the memory holds already. */
  void write(DurableRecord record, long bytes, Runnable then) {
    disk.write(now, record, bytes, mark(), then);
  }

  void writeVote(Runnable then) {
    write(new DurableRecord.Vote(witness), 0, then);
  }

  void retryDisk() {
    disk.retry(now, mark());
  }

  private DurablePosition mark() {
    return new DurablePosition(store.installed(), store.lastSequence());
  }

  private DurableRecord.Snapshot snapshot() {
    return new DurableRecord.Snapshot(self, witness, store.installed(), store.whole());
  }

  /** What this node tells of itself. */
  ReplicaStatus status() {
    return new ReplicaStatus(
        view().epoch(),
        witness.hasAccepted(),
        store.installed(),
        store.lastSequence(),
        disk.durable().tenure(),
        disk.durable().sequence(),
        store.appliedSequence(),
        fit());
  }

  /** A random time in microseconds. */
  long randomBetween(long least, long most) {
    return random.nextLong(least, most + 1);
  }
}
