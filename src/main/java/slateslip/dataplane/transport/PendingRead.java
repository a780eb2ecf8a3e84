package slateslip.dataplane.transport;

/** Results of {@link PollableSocketChannel#readPending}. */
public enum PendingRead {
  /** All bytes that had arrived were read and passed to the pipeline. */
  BYTES,
  /** The buffer was filled and passed to the pipeline; more bytes may have arrived. */
  MORE_BYTES,
  /** No bytes had arrived. */
  NONE,
  /** The connection has ended or failed; the caller has to close the channel. */
  ENDED
}
