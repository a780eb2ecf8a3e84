package slateslip.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A ring of preallocated files, each of which holds a snapshot and the records after the snapshot.
 * After {@link #open} and after each failure, the storage rejects records until {@link #beginFile}
 * has succeeded. {@link #beginFile} never writes to the file with the newest durable snapshot, so a
 * torn or failed write cannot damage durable records.
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
   * Opens the ring and reads the newest valid snapshot and the records after the snapshot.
   *
   * @throws IOException if the folder cannot be read, which does not mean that data is lost
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

  /**
   * Returns the payloads that {@link #open} found: the newest complete snapshot and the records
   * after the snapshot, or an empty list.
   */
  public List<byte[]> recovered() {
    return List.copyOf(recovered);
  }

  /** Releases the memory of the recovered payloads. */
  public void clearRecovered() {
    recovered.clear();
  }

  /**
   * Writes records after the newest snapshot and syncs the file once. The outcome applies to all
   * records together.
   */
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

  /**
   * Begins the next file of the ring with a snapshot that replaces all earlier records, and syncs
   * the file.
   */
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
   * Preallocates one chunk of the first file that is shorter than its configured size, and syncs
   * that file. The caller should call this method when no other write is pending. An input/output
   * error ends the preallocation and is not reported.
   *
   * @return whether more chunks may remain to be preallocated
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
