package slateslip.simulation;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.Effects;
import slateslip.protocol.Decoded;
import slateslip.protocol.coordination.DurableRecordCodec;
import slateslip.storage.RingOptions;
import slateslip.storage.RingStorage;
import slateslip.storage.StorageOutcome;

/** Simulates the disk of one machine and the thread that writes to the disk. */
public final class SimulatedDisk {
  private static final RingOptions SMALL = new RingOptions(3, 0);
  private static final long MIN_WRITE = 500;
  private static final long MAX_WRITE = 6_000;

  private final EventQueue events;
  private final SplittableRandom random;
  private final RingOptions options;
  private final UnaryOperator<DurableRecord> readBack;
  private final FaultyFolder folder = new FaultyFolder();
  private final Deque<Effects.DurableWrite> queue = new ArrayDeque<>();
  private RingStorage ring;
  private BiConsumer<Long, Boolean> listener;
  private boolean busy;
  private int incarnation;
  private long slowUntil;
  private long slowFactor = 1;
  private long hungUntil;
  private long fullUntil;
  private boolean lies;

  /** Creates an empty disk without faults. */
  public SimulatedDisk(EventQueue events, SplittableRandom random) {
    this(events, random, SMALL, UnaryOperator.identity());
  }

  /**
   * Creates an empty disk without faults.
   *
   * @param readBack applied to each record that is read back; mutations use this function to alter
   *     records
   */
  public SimulatedDisk(
      EventQueue events,
      SplittableRandom random,
      RingOptions options,
      UnaryOperator<DurableRecord> readBack) {
    this.events = events;
    this.random = random;
    this.options = options;
    this.readBack = readBack;
  }

  /** Enables a mutation: the disk reports every write as durable immediately. */
  public void lie() {
    lies = true;
  }

  /**
   * Recovers the stored records at the start of a process.
   *
   * @param writeListener called with the token of each write and whether the write is durable
   */
  public List<DurableRecord> open(BiConsumer<Long, Boolean> writeListener) {
    listener = writeListener;
    try {
      folder.setMode(FaultyFolder.Mode.WORKING);
      ring = RingStorage.open(folder, options);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return ring.recovered().stream().map(SimulatedDisk::decode).map(readBack).toList();
  }

  private static DurableRecord decode(byte[] bytes) {
    Decoded<DurableRecord> decoded = DurableRecordCodec.decode(bytes);
    if (decoded instanceof Decoded.Message<DurableRecord> message) {
      return message.value();
    }
    throw new RuleViolation("unreadable record on disk: " + decoded);
  }

  /** Queues a write behind the writes that were started before. */
  public void start(Effects.DurableWrite write) {
    queue.addLast(write);
    if (lies) {
      int current = incarnation;
      events.after(0, () -> tell(current, write.token(), true));
    }
    next();
  }

  private void next() {
    if (busy || queue.isEmpty()) {
      return;
    }
    busy = true;
    long time = random.nextLong(MIN_WRITE, MAX_WRITE);
    if (events.nowMicros() < slowUntil) {
      time *= slowFactor;
    }
    long begin = Math.max(events.nowMicros(), hungUntil);
    int current = incarnation;
    events.at(begin + time, () -> finish(current));
  }

  private void finish(int startedInIncarnation) {
    if (startedInIncarnation != incarnation) {
      return;
    }
    if (events.nowMicros() < hungUntil) {
      events.at(hungUntil, () -> finish(startedInIncarnation));
      return;
    }
    Effects.DurableWrite write = queue.removeFirst();
    busy = false;
    folder.setMode(
        events.nowMicros() < fullUntil ? FaultyFolder.Mode.FULL : FaultyFolder.Mode.WORKING);
    boolean durable = put(write) == StorageOutcome.DURABLE;
    if (!lies) {
      tell(startedInIncarnation, write.token(), durable);
    }
    next();
  }

  private void tell(int startedInIncarnation, long token, boolean durable) {
    if (startedInIncarnation == incarnation) {
      listener.accept(token, durable);
    }
  }

  private StorageOutcome put(Effects.DurableWrite write) {
    byte[] payload = DurableRecordCodec.encode(write.record());
    return write.record() instanceof DurableRecord.Snapshot
        ? ring.beginFile(payload)
        : ring.append(List.of(payload));
  }

  /**
   * Simulates a kill of the process: completed writes are kept, and the write in progress may be
   * kept.
   */
  public void processKilled() {
    if (busy && random.nextBoolean()) {
      folder.setMode(
          random.nextBoolean() ? FaultyFolder.Mode.SYNC_FAILS : FaultyFolder.Mode.WORKING);
      put(queue.peekFirst());
    }
    incarnation++;
    busy = false;
    queue.clear();
  }

  /** Simulates a power failure: writes that were not synced are kept, lost or torn. */
  public void powerLost() {
    if (busy && random.nextBoolean()) {
      folder.setMode(FaultyFolder.Mode.SYNC_FAILS);
      List<Effects.DurableWrite> underWay = new ArrayList<>(queue);
      underWay.stream().limit(2).forEach(this::put);
    }
    folder.losePower(
        random,
        random.nextInt(4) == 0 ? FaultyFolder.Loss.ALL_GONE : FaultyFolder.Loss.EACH_AT_RANDOM);
    incarnation++;
    busy = false;
    queue.clear();
  }

  /** Replaces the contents of the disk with one record. */
  public void put(DurableRecord record) {
    ring.beginFile(DurableRecordCodec.encode(record));
  }

  /** Deletes all data, as if the disk were replaced. */
  public void wipe() {
    folder.wipe();
  }

  /** Makes writes slower by a factor for a time in microseconds. */
  public void slow(long micros, long factor) {
    slowUntil = events.nowMicros() + micros;
    slowFactor = factor;
  }

  /** Blocks the completion of writes for a time in microseconds. */
  public void hang(long micros) {
    hungUntil = events.nowMicros() + micros;
  }

  /** Makes writes fail for a time in microseconds because no space is left. */
  public void fill(long micros) {
    fullUntil = events.nowMicros() + micros;
  }

  /** Ends all slow, blocked and full states of the disk. */
  public void heal() {
    slowUntil = 0;
    hungUntil = 0;
    fullUntil = 0;
  }
}
