package slateslip.simulation.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.Effects;
import slateslip.protocol.Decoded;
import slateslip.protocol.coordination.DurableRecordCodec;
import slateslip.simulation.FaultyFolder;
import slateslip.storage.RingOptions;
import slateslip.storage.RingStorage;
import slateslip.storage.StorageOutcome;

/** One machine's disk and the thread that writes to it. */
final class SimulatedDisk {
  private static final RingOptions OPTIONS = new RingOptions(3, 0);
  private static final long LEAST_WRITE = 500;
  private static final long MOST_WRITE = 6_000;

  private final EventQueue events;
  private final SplittableRandom random;
  private final Mutation mutation;
  private final FaultyFolder folder = new FaultyFolder();
  private final Deque<Effects.DurableWrite> queue = new ArrayDeque<>();
  private RingStorage ring;
  private BiConsumer<Long, Boolean> listener;
  private boolean busy;
  private int life;
  private long slowUntil;
  private long slowFactor = 1;
  private long hungUntil;
  private long fullUntil;
  private boolean lies;

  SimulatedDisk(EventQueue events, SplittableRandom random, Mutation mutation) {
    this.mutation = mutation;
    this.events = events;
    this.random = random;
  }

  /** A mutation: says that writes are durable at once. */
  void lie() {
    lies = true;
  }

  /**
   * Recovers at the start of a process.
   *
   * @param writeListener told of each token whether its write is on disk
   */
  List<DurableRecord> open(BiConsumer<Long, Boolean> writeListener) {
    listener = writeListener;
    try {
      folder.setMode(FaultyFolder.Mode.WORKING);
      ring = RingStorage.open(folder, OPTIONS);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return ring.recovered().stream().map(SimulatedDisk::decode).map(mutation::recovered).toList();
  }

  private static DurableRecord decode(byte[] bytes) {
    Decoded<DurableRecord> decoded = DurableRecordCodec.decode(bytes);
    if (decoded instanceof Decoded.Message<DurableRecord> message) {
      return message.value();
    }
    throw new CheckedHistory.Violation("unreadable record on disk: " + decoded);
  }

  void start(Effects.DurableWrite write) {
    queue.addLast(write);
    if (lies) {
      int current = life;
      events.in(0, () -> tell(current, write.token(), true));
    }
    next();
  }

  private void next() {
    if (busy || queue.isEmpty()) {
      return;
    }
    busy = true;
    long time = random.nextLong(LEAST_WRITE, MOST_WRITE);
    if (events.now() < slowUntil) {
      time *= slowFactor;
    }
    long begin = Math.max(events.now(), hungUntil);
    int current = life;
    events.at(begin + time, () -> finish(current));
  }

  private void finish(int startedInLife) {
    if (startedInLife != life) {
      return;
    }
    if (events.now() < hungUntil) {
      events.at(hungUntil, () -> finish(startedInLife));
      return;
    }
    Effects.DurableWrite write = queue.removeFirst();
    busy = false;
    folder.setMode(events.now() < fullUntil ? FaultyFolder.Mode.FULL : FaultyFolder.Mode.WORKING);
    boolean durable = put(write) == StorageOutcome.DURABLE;
    if (!lies) {
      tell(startedInLife, write.token(), durable);
    }
    next();
  }

  private void tell(int startedInLife, long token, boolean durable) {
    if (startedInLife == life) {
      listener.accept(token, durable);
    }
  }

  private StorageOutcome put(Effects.DurableWrite write) {
    byte[] payload = DurableRecordCodec.encode(write.record());
    return write.record() instanceof DurableRecord.Snapshot
        ? ring.begin(payload)
        : ring.append(List.of(payload));
  }

  /** The process is killed: what was written stays, what was under way may be there in part. */
  void processKilled() {
    if (busy && random.nextBoolean()) {
      folder.setMode(
          random.nextBoolean() ? FaultyFolder.Mode.SYNC_FAILS : FaultyFolder.Mode.WORKING);
      put(queue.peekFirst());
    }
    life++;
    busy = false;
    queue.clear();
  }

  /** Power is lost: writes that were not synced are there, missing or torn. */
  void powerLost() {
    if (busy && random.nextBoolean()) {
      folder.setMode(FaultyFolder.Mode.SYNC_FAILS);
      List<Effects.DurableWrite> underWay = new ArrayList<>(queue);
      underWay.stream().limit(2).forEach(this::put);
    }
    folder.losePower(
        random,
        random.nextInt(4) == 0 ? FaultyFolder.Loss.ALL_GONE : FaultyFolder.Loss.EACH_AT_RANDOM);
    life++;
    busy = false;
    queue.clear();
  }

  void wipe() {
    folder.wipe();
  }

  void slow(long micros, long factor) {
    slowUntil = events.now() + micros;
    slowFactor = factor;
  }

  void hang(long micros) {
    hungUntil = events.now() + micros;
  }

  void fill(long micros) {
    fullUntil = events.now() + micros;
  }

  void heal() {
    slowUntil = 0;
    hungUntil = 0;
    fullUntil = 0;
  }
}
