package slateslip.coordination;

import java.util.List;

/** Restores the state of a replica from the records on its disk. */
final class Recovery {
  private Recovery() {}

  /**
   * Replays the records on disk, the first of which must be a snapshot.
   *
   * @throws IllegalArgumentException if the first record is not a snapshot
   */
  static void replay(List<DurableRecord> records, ReplicaContext context) {
    if (!(records.get(0) instanceof DurableRecord.Snapshot)) {
      throw new IllegalArgumentException("the first record on disk is not a snapshot");
    }
    records.forEach(record -> replay(record, context));
    ReplicaStore store = context.store;
    context.durableWrites.recovered(new DurablePosition(store.installed(), store.lastSequence()));
  }

  private static void replay(DurableRecord record, ReplicaContext context) {
    if (record instanceof DurableRecord.Snapshot snapshot) {
      context.self = snapshot.self();
      context.witness = snapshot.witness();
      context.store.install(snapshot.installedTerm(), snapshot.state());
    } else if (record instanceof DurableRecord.Vote vote) {
      context.witness = vote.witness();
    } else if (record instanceof DurableRecord.Installation installation) {
      replay(installation, context.store);
    } else if (record instanceof DurableRecord.Entry entry) {
      context.store.append(entry.sequence(), entry.committedSequence(), entry.record());
    }
  }

  /**
   * Replays the installation of a primary's state. At the time of an incomplete installation, all
   * records up to its base sequence number were known to be committed.
   */
  private static void replay(DurableRecord.Installation installation, ReplicaStore store) {
    if (!installation.state().complete()) {
      store.commitTo(installation.state().baseSequence());
    }
    store.install(installation.term(), installation.state());
  }
}
