package slateslip.controlplane;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import slateslip.controlplane.agent.WriteAheadLog;
import slateslip.coordination.DurableRecord;
import slateslip.protocol.Decoded;
import slateslip.protocol.coordination.DurableRecordCodec;
import slateslip.storage.DiskFolder;
import slateslip.storage.RingOptions;
import slateslip.storage.RingStorage;
import slateslip.storage.StorageOutcome;

/**
 * Stores the records of a control agent on disk. A dedicated thread writes the records in the order
 * of the calls. All queued records up to the next snapshot are synced to disk together.
 */
final class DiskWriteAheadLog implements WriteAheadLog {
  private static final Logger LOG = Logger.getLogger(DiskWriteAheadLog.class);

  /**
   * Time without a write after which the next part of the ring is preallocated, so that writes take
   * precedence over the preallocation.
   */
  private static final long PREALLOCATION_INTERVAL_MILLIS = 50;

  private final RingStorage ring;
  private final Executor eventLoop;
  private final List<DurableRecord> recovered;
  private final BlockingQueue<QueuedWrite> queue = new LinkedBlockingQueue<>();
  private final Thread thread = new Thread(this::runWriter, "disk");

  private DiskWriteAheadLog(RingStorage ring, List<DurableRecord> recovered, Executor eventLoop) {
    this.ring = ring;
    this.eventLoop = eventLoop;
    this.recovered = recovered;
  }

  /**
   * Opens the ring in a folder, which is created if it is missing.
   *
   * @param eventLoop the event loop on which the outcomes of writes are reported
   * @throws IOException if the folder cannot be read or contains a record that cannot be decoded
   */
  static DiskWriteAheadLog open(Path folder, RingOptions options, Executor eventLoop)
      throws IOException {
    Files.createDirectories(folder);
    RingStorage ring = RingStorage.open(new DiskFolder(folder), options);
    List<DurableRecord> recovered = new ArrayList<>();
    for (byte[] payload : ring.recovered()) {
      if (!(DurableRecordCodec.decode(payload) instanceof Decoded.Message<DurableRecord> record)) {
        throw new IOException("a record on disk cannot be decoded");
      }
      recovered.add(record.value());
    }
    return new DiskWriteAheadLog(ring, recovered, eventLoop);
  }

  @Override
  public List<DurableRecord> recovered() {
    return recovered;
  }

  /** Starts the writer thread. */
  @Override
  public void start() {
    thread.setDaemon(true);
    thread.start();
  }

  /** Ends the writer thread; queued writes are not executed. */
  void stop() {
    thread.interrupt();
    try {
      thread.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void write(DurableRecord record, Consumer<Boolean> onComplete) {
    queue.add(new QueuedWrite(record, onComplete));
  }

  private void runWriter() {
    try {
      while (true) {
        QueuedWrite next = queue.poll(PREALLOCATION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        if (next == null) {
          preallocate();
        } else {
          write(next);
        }
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Preallocates the next part of the ring; if the ring is fully preallocated, waits for the next
   * write and executes it.
   */
  private void preallocate() throws InterruptedException {
    if (!ring.preallocateNext()) {
      write(queue.take());
    }
  }

  private void write(QueuedWrite first) throws InterruptedException {
    if (first.record instanceof DurableRecord.Snapshot) {
      byte[] snapshot = DurableRecordCodec.encode(first.record);
      StorageOutcome outcome = ring.beginFile(snapshot);
      LOG.infof("snapshot written: bytes=%d outcome=%s", snapshot.length, outcome);
      complete(List.of(first), outcome);
      return;
    }
    List<QueuedWrite> batch = new ArrayList<>();
    batch.add(first);
    while (queue.peek() != null && !(queue.peek().record instanceof DurableRecord.Snapshot)) {
      batch.add(queue.take());
    }
    List<byte[]> payloads = new ArrayList<>();
    batch.forEach(write -> payloads.add(DurableRecordCodec.encode(write.record)));
    complete(batch, ring.append(payloads));
  }

  private void complete(List<QueuedWrite> writes, StorageOutcome outcome) {
    boolean durable = outcome == StorageOutcome.DURABLE;
    if (!durable) {
      LOG.warnf("disk write failed: outcome=%s records=%d", outcome, writes.size());
    }
    writes.forEach(write -> eventLoop.execute(() -> write.onComplete.accept(durable)));
  }

  private record QueuedWrite(DurableRecord record, Consumer<Boolean> onComplete) {}
}
