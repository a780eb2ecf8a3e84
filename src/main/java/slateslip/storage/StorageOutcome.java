package slateslip.storage;

/** The outcome of a write. */
public enum StorageOutcome {
  /** The record is on disk. */
  DURABLE,
  /** The disk is full; the record may or may not be on disk. */
  FULL,
  /**
   * The write or the sync failed, or the storage rejected the record after an earlier failure; the
   * record may or may not be on disk.
   */
  FAILED
}
