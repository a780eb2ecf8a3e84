package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * Queue of the node's durable writes, which complete in the order in which they were started. After
 * a write has failed, no write counts as durable until a snapshot of the complete state has been
 * written.
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

  /** Returns the position up to which the state is on disk. */
  DurablePosition durable() {
    return durable;
  }

  /** Sets the durable position that was recovered from disk. */
  void recovered(DurablePosition position) {
    durable = position;
  }

  /**
   * Starts a durable write of a record. The state in memory already contains the effect of the
   * record, so the queue may write a snapshot of the state instead. After a failure, the queue
   * skips the write, and a later snapshot contains its effect.
   *
   * @param position the position up to which the state is on disk after this write
   * @param bytes the approximate size of the record in bytes
   * @param onDurable the action to run when the write is on disk; discarded if the write fails or
   *     is skipped
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

  /**
   * Handles the completion of a write. Returns false if the write was discarded after a failure of
   * an earlier write.
   */
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

  /** Handles the failure of a write, which also discards all writes that are in flight with it. */
  void failed(long nowMicros, long token) {
    if (inFlight.stream().noneMatch(write -> write.token() == token)) {
      return;
    }
    inFlight.clear();
    failed = true;
    retryAtMicros = nowMicros + ReplicationTimeouts.DISK_RETRY_DELAY_MICROS;
  }

  /**
   * Writes a snapshot of the complete state if a write has failed or was skipped, no write is in
   * flight and the retry delay has passed.
   */
  void retry(long nowMicros, DurablePosition position) {
    if ((failed || skippedWrites) && inFlight.isEmpty() && nowMicros >= retryAtMicros) {
      startSnapshot(nowMicros, position, DurableWriteQueue::noAction);
    }
  }

  /**
   * Returns whether the last write did not fail and the oldest write in flight has not exceeded the
   * write timeout.
   */
  boolean healthy(long nowMicros) {
    boolean stalled =
        !inFlight.isEmpty()
            && nowMicros - inFlight.peekFirst().startedMicros()
                > ReplicationTimeouts.DISK_WRITE_TIMEOUT_MICROS;
    return !failed && !stalled;
  }

  private static void noAction() {}
}
