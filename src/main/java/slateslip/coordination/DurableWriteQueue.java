package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * The node's durable writes. They complete in the order of their start; after a failed one nothing
 * counts until the complete state has been written anew.
 */
final class DurableWriteQueue {
  private static final long RECORD_OVERHEAD = 256;

  private record InFlight(
      long token, long startedMicros, DurablePosition position, Runnable onDurable) {}

  private final EffectsBuilder outbox;
  private final long snapshotThresholdBytes;
  private final Supplier<DurableRecord.Snapshot> snapshots;
  private final Deque<InFlight> inFlight = new ArrayDeque<>();
  private DurablePosition durable = DurablePosition.NONE;
  private long nextToken = 1;
  private long bytesSinceSnapshot;
  private boolean snapshotDue = true;
  private boolean failed;
  private boolean skippedWrites;
  private long retryAtMicros;

  DurableWriteQueue(
      EffectsBuilder outbox,
      long snapshotThresholdBytes,
      Supplier<DurableRecord.Snapshot> snapshots) {
    this.outbox = outbox;
    this.snapshotThresholdBytes = snapshotThresholdBytes;
    this.snapshots = snapshots;
  }

  /** How far the state is on disk. */
  DurablePosition durable() {
    return durable;
  }

  /** Begins with what was recovered. */
  void recovered(DurablePosition position) {
    durable = position;
  }

  /**
   * Starts a write. The state in memory holds its effect already, hence a snapshot may stand for
   * it.
   *
   * @param position how far the state is on disk once this is written
   * @param bytes size of the record, about
   * @param onDurable run once it is on disk; dropped if it fails
   */
  void write(
      long nowMicros,
      DurableRecord record,
      long bytes,
      DurablePosition position,
      Runnable onDurable) {
    if (failed) {
      skippedWrites = true;
      return;
    }
    bytesSinceSnapshot += bytes + RECORD_OVERHEAD;
    if (snapshotDue || skippedWrites || bytesSinceSnapshot > snapshotThresholdBytes) {
      startSnapshot(nowMicros, position, onDurable);
    } else {
      start(nowMicros, record, position, onDurable);
    }
  }

  private void startSnapshot(long nowMicros, DurablePosition position, Runnable onDurable) {
    start(nowMicros, snapshots.get(), position, onDurable);
    snapshotDue = false;
    skippedWrites = false;
    bytesSinceSnapshot = 0;
  }

  private void start(
      long nowMicros, DurableRecord record, DurablePosition position, Runnable onDurable) {
    inFlight.addLast(new InFlight(nextToken, nowMicros, position, onDurable));
    outbox.write(nextToken, record);
    nextToken++;
  }

  /** A write is on disk; false if it no longer counts. */
  boolean written(long token) {
    if (inFlight.isEmpty() || inFlight.peekFirst().token() != token) {
      return false;
    }
    InFlight write = inFlight.removeFirst();
    durable = write.position();
    failed = false;
    write.onDurable().run();
    return true;
  }

  /** A write failed; those behind it are void as well. */
  void failed(long nowMicros, long token) {
    if (inFlight.stream().noneMatch(write -> write.token() == token)) {
      return;
    }
    inFlight.clear();
    failed = true;
    retryAtMicros = nowMicros + ReplicationTimeouts.DISK_RETRY_DELAY_MICROS;
  }

  /**
   * Writes the complete state anew if that is due after a failure, or writes were left out since.
   */
  void retry(long nowMicros, DurablePosition position) {
    if ((failed || skippedWrites) && inFlight.isEmpty() && nowMicros >= retryAtMicros) {
      startSnapshot(nowMicros, position, DurableWriteQueue::noAction);
    }
  }

  /** Whether the disk takes writes within the bound. */
  boolean healthy(long nowMicros) {
    boolean stalled =
        !inFlight.isEmpty()
            && nowMicros - inFlight.peekFirst().startedMicros()
                > ReplicationTimeouts.DISK_WRITE_TIMEOUT_MICROS;
    return !failed && !stalled;
  }

  private static void noAction() {}
}
