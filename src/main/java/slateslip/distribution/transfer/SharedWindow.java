package slateslip.distribution.transfer;

/**
 * Limits the bytes in flight of all streams of a control agent together, so that heartbeats to
 * other agents do not wait behind transfers in the queue of the agent's link. A stream without
 * bytes in flight may always send a short segment, so that a data plane that does not read delays
 * no other one.
 */
public final class SharedWindow {
  /** Maximum number of bytes in flight of one stream: 75 ms on a link of 7 Mbit/s. */
  static final int MAX_STREAM_BYTES = 64 * 1024;

  /**
   * Number of bytes in flight of all streams above which only streams without bytes in flight send:
   * 35 ms on a link of 120 Mbit/s.
   */
  static final int MAX_SHARED_BYTES = 512 * 1024;

  /** Length of a segment of a stream without bytes in flight while the window is used up. */
  static final int MIN_SEGMENT_BYTES = 4 * 1024;

  private int bytesInFlight;

  /** Records that the bytes in flight of a stream have changed by a number of bytes. */
  public void changed(int difference) {
    bytesInFlight += difference;
  }

  /**
   * Returns the maximum length in bytes of the next segment of a stream; 0 if the stream has to
   * wait for acknowledgements.
   *
   * @param streamBytesInFlight bytes in flight of this stream
   */
  public int maxSegmentBytes(int streamBytesInFlight) {
    boolean withinWindow =
        streamBytesInFlight + SegmentSender.SEGMENT_BYTES <= MAX_STREAM_BYTES
            && bytesInFlight + SegmentSender.SEGMENT_BYTES <= MAX_SHARED_BYTES;
    if (withinWindow) {
      return SegmentSender.SEGMENT_BYTES;
    }
    return streamBytesInFlight == 0 ? MIN_SEGMENT_BYTES : 0;
  }
}
