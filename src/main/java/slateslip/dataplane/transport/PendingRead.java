package slateslip.dataplane.transport;

/** What a read of a socket outside the event loop's own reads has found. */
public enum PendingRead {
  /** Bytes, which have been passed on as any other; all that had arrived. */
  BYTES,
  /** As many bytes as are read at once; there may be more. */
  MORE_BYTES,
  /** Nothing. */
  NONE,
  /** The end of the connection, which is still to be closed. */
  ENDED
}
