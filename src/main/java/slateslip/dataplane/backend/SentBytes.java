package slateslip.dataplane.backend;

/**
 * Number of bytes of an attempt's request that the connection has taken.
 *
 * @param sent bytes that the socket has taken
 * @param total size of the whole request in bytes; 0 if nothing was written
 */
public record SentBytes(long sent, long total) {
  /** Value for an attempt that has written nothing. */
  public static final SentBytes NONE = new SentBytes(0, 0);

  /** Returns whether the socket has taken a part of the request but not the whole request. */
  public boolean isPartial() {
    return sent > 0 && sent < total;
  }

  @Override
  public String toString() {
    return sent + "/" + total;
  }
}
