package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * The node's durable writes. They complete in the order of their start; after a failed one nothing
 * counts until the whole state has been written anew.
 */
final class DurableWriteQueue {
  private static final long RECORD_OVERHEAD = 256;

  private record InFlight(long token, long startedMicros, DurablePosition mark, Runnable then) {}

  private final EffectsBuilder outbox;
  private final long journalBytes;
  private final Supplier<DurableRecord.Snapshot> snapshots;
  private final Deque<InFlight> inFlight = new ArrayDeque<>();
  private DurablePosition durable = DurablePosition.NONE;
  private long nextToken = 1;
  private long bytesSinceSnapshot;
  private boolean snapshotDue = true;
  private boolean broken;
  private boolean missed;
  private long retryAt;

  DurableWriteQueue(
      EffectsBuilder outbox, long journalBytes, Supplier<DurableRecord.Snapshot> snapshots) {
    this.outbox = outbox;
    this.journalBytes = journalBytes;
    this.snapshots = snapshots;
  }

  /** How far the state is on disk. */
  DurablePosition durable() {
    return durable;
  }

  /** Begins with what was recovered. */
  void recovered(DurablePosition mark) {
    durable = mark;
  }

  /**
   * Starts a write. The state in memory holds its effect already, hence a snapshot may stand for
   * it.
   *
   * @param mark how far the state is on disk once this is written
   * @param bytes size of the record, about
   * @param then run once it is on disk; dropped if it fails
   */
  void write(long now, DurableRecord record, long bytes, DurablePosition mark, Runnable then) {
    if (broken) {
      missed = true;
      return;
    }
    bytesSinceSnapshot += bytes + RECORD_OVERHEAD;
    if (snapshotDue || missed || bytesSinceSnapshot > journalBytes) {
      startSnapshot(now, mark, then);
    } else {
      start(now, record, mark, then);
    }
  }

  private void startSnapshot(long now, DurablePosition mark, Runnable then) {
    start(now, snapshots.get(), mark, then);
    snapshotDue = false;
    missed = false;
    bytesSinceSnapshot = 0;
  }

  private void start(long now, DurableRecord record, DurablePosition mark, Runnable then) {
    inFlight.addLast(new InFlight(nextToken, now, mark, then));
    outbox.write(nextToken, record);
    nextToken++;
  }

  /** A write is on disk; false if it no longer counts. */
  boolean written(long token) {
    if (inFlight.isEmpty() || inFlight.peekFirst().token() != token) {
      return false;
    }
    InFlight write = inFlight.removeFirst();
    durable = write.mark();
    broken = false;
    write.then().run();
    return true;
  }

  /** A write failed; those behind it are void as well. */
  void failed(long now, long token) {
    if (inFlight.stream().noneMatch(write -> write.token() == token)) {
      return;
    }
    inFlight.clear();
    broken = true;
    retryAt = now + ReplicationTimeouts.DISK_RETRY;
  }

  /** Writes the whole state anew if that is due after a failure, or writes were left out since. */
  void retry(long now, DurablePosition mark) {
    if ((broken || missed) && inFlight.isEmpty() && now >= retryAt) {
      startSnapshot(now, mark, DurableWriteQueue::doNothing);
    }
  }

  /** Whether the disk takes writes within the bound. */
  boolean healthy(long now) {
    boolean hung =
        !inFlight.isEmpty()
            && now - inFlight.peekFirst().startedMicros() > ReplicationTimeouts.DISK_BOUND;
    return !broken && !hung;
  }

  private static void doNothing() {}
}
