package slateslip.storage;

import java.io.IOException;
import java.util.List;

/** A ring of preallocated files that hold records behind a snapshot. */
public final class RingStorage {
  private RingStorage() {}

  /**
   * Opens the ring and recovers what it holds.
   *
   * @throws IOException if the folder can't be read; no data is then known to be lost
   */
  public static RingStorage open(StorageFolder folder, RingOptions options) throws IOException {
    throw new UnsupportedOperationException("not written yet");
  }

  /** Payloads found by {@link #open}: the newest whole snapshot and the records behind it. */
  public List<byte[]> recovered() {
    throw new UnsupportedOperationException("not written yet");
  }

  /** Writes a record behind the newest snapshot and syncs it. */
  public StorageOutcome append(byte[] payload) {
    throw new UnsupportedOperationException("not written yet");
  }

  /** Begins another file with a snapshot that stands for everything before it, and syncs it. */
  public StorageOutcome begin(byte[] snapshot) {
    throw new UnsupportedOperationException("not written yet");
  }

  /** Writes one part of what is not yet preallocated; whether anything is left to do. */
  public boolean preallocateNext() {
    throw new UnsupportedOperationException("not written yet");
  }
}
