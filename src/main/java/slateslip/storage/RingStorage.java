package slateslip.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A ring of preallocated files that hold records behind a snapshot. After {@link #open} and after
 * each failure nothing is taken until {@link #beginFile} has succeeded, in another file than the
 * one that holds the newest complete chain; so a torn or failed write never harms what was durable.
 */
public final class RingStorage implements AutoCloseable {
  private static final int PREALLOCATION_CHUNK_BYTES = 256 * 1024;
  private static final String NO_SPACE = "No space";

  private record Slot(int number, long generation) {}

  private final StorageFolder folder;
  private final RingOptions options;
  private final StorageFile[] files;
  private final List<byte[]> recovered = new ArrayList<>();
  private boolean folderSynced;
  private int durableSlot = -1;
  private long highestGeneration;
  private boolean accepting;
  private int slot;
  private long position;
  private long index;

  private RingStorage(StorageFolder folder, RingOptions options) {
    this.folder = folder;
    this.options = options;
    files = new StorageFile[options.files()];
  }

  /**
   * Opens the ring and recovers what it holds.
   *
   * @throws IOException if the folder can't be read; no data is then known to be lost
   */
  public static RingStorage open(StorageFolder folder, RingOptions options) throws IOException {
    RingStorage ring = new RingStorage(folder, options);
    ring.recover();
    return ring;
  }

  private static String name(int number) {
    return "control-" + number + ".ring";
  }

  private void recover() throws IOException {
    List<String> names = folder.names();
    List<Slot> found = new ArrayList<>();
    for (int number = 0; number < files.length; number++) {
      if (names.contains(name(number))) {
        files[number] = folder.open(name(number));
        Optional<RecordFormat.Header> header = RecordFormat.header(files[number], 0);
        if (header.isPresent()) {
          found.add(new Slot(number, header.get().generation()));
        }
      }
    }
    found.sort(Comparator.comparingLong(Slot::generation).reversed());
    for (Slot candidate : found) {
      if (recovered.isEmpty()) {
        readChain(candidate);
      }
    }
  }

  private void readChain(Slot candidate) throws IOException {
    StorageFile file = files[candidate.number()];
    long offset = 0;
    Optional<byte[]> payload = RecordFormat.payload(file, offset, candidate.generation(), 0);
    while (payload.isPresent()) {
      recovered.add(payload.get());
      offset += RecordFormat.HEADER_BYTES + payload.get().length;
      payload = RecordFormat.payload(file, offset, candidate.generation(), recovered.size());
    }
    if (!recovered.isEmpty()) {
      durableSlot = candidate.number();
      highestGeneration = candidate.generation();
    }
  }

  /** Payloads found by {@link #open}: the newest complete snapshot and the records behind it. */
  public List<byte[]> recovered() {
    return List.copyOf(recovered);
  }

  /** Lets the memory of what was recovered go. */
  public void forgetRecovered() {
    recovered.clear();
  }

  /** Writes records behind the newest snapshot and syncs them; all count or none. */
  public StorageOutcome append(List<byte[]> payloads) {
    if (!accepting) {
      return StorageOutcome.FAILED;
    }
    try {
      for (byte[] payload : payloads) {
        writeRecord(payload);
      }
      files[slot].sync();
      return StorageOutcome.DURABLE;
    } catch (IOException e) {
      accepting = false;
      return failure(e);
    }
  }

  /** Begins another file with a snapshot that stands for everything before it, and syncs it. */
  public StorageOutcome beginFile(byte[] snapshot) {
    accepting = false;
    slot = (durableSlot + 1) % files.length;
    highestGeneration++;
    position = 0;
    index = 0;
    try {
      if (files[slot] == null) {
        files[slot] = folder.open(name(slot));
        folderSynced = false;
      }
      writeRecord(snapshot);
      files[slot].sync();
      syncFolder();
    } catch (IOException e) {
      return failure(e);
    }
    durableSlot = slot;
    accepting = true;
    return StorageOutcome.DURABLE;
  }

  private void syncFolder() throws IOException {
    if (!folderSynced) {
      folder.sync();
      folderSynced = true;
    }
  }

  private void writeRecord(byte[] payload) throws IOException {
    ByteBuffer bytes = RecordFormat.encode(highestGeneration, index, payload);
    int length = bytes.remaining();
    files[slot].write(position, bytes);
    position += length;
    index++;
  }

  private static StorageOutcome failure(IOException cause) {
    String message = cause.getMessage();
    boolean full = message != null && message.contains(NO_SPACE);
    return full ? StorageOutcome.FULL : StorageOutcome.FAILED;
  }

  /**
   * Writes one part of what is not yet preallocated, without a sync. To be called when nothing else
   * is to be written.
   *
   * @return whether something may be left to do
   */
  public boolean preallocateNext() {
    if (!accepting) {
      return false;
    }
    try {
      for (int number = 0; number < files.length; number++) {
        if (files[number] == null) {
          files[number] = folder.open(name(number));
          folderSynced = false;
        }
        long length = files[number].length();
        if (length < options.fileBytes()) {
          extend(files[number], length);
          return true;
        }
      }
      syncFolder();
      return false;
    } catch (IOException e) {
      return false;
    }
  }

  private void extend(StorageFile file, long length) throws IOException {
    long bytes = Math.min(PREALLOCATION_CHUNK_BYTES, options.fileBytes() - length);
    file.write(length, ByteBuffer.allocate((int) bytes));
    file.sync();
  }

  @Override
  public void close() throws IOException {
    for (StorageFile file : files) {
      if (file != null) {
        file.close();
      }
    }
  }
}
