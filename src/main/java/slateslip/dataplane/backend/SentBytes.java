package slateslip.dataplane.backend;

/**
 * How much of an attempt's request its connection has taken.
 *
 * @param sent bytes that the socket has taken
 * @param total bytes of the whole request; 0 if nothing was written
 */
public record SentBytes(long sent, long total) {
  /** Of an attempt that has written nothing. */
  public static final SentBytes NONE = new SentBytes(0, 0);

  /** Whether a part of the request has been taken, but not all of it. */
  public boolean isPartial() {
    return sent > 0 && sent < total;
  }

  @Override
  public String toString() {
    return sent + "/" + total;
  }
}
