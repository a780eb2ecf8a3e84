package slateslip.storage;

/** How a write ended. */
public enum StorageOutcome {
  /** On disk. */
  DURABLE,
  /** The disk is full; the record may be on disk or not. */
  FULL,
  /** The write or the sync failed; the record may be on disk or not. */
  FAILED
}
