package slateslip.protocol;

import org.agrona.ExpandableArrayBuffer;

/**
 * A buffer that messages are written into one after the other; it does not keep the size of a large
 * one.
 */
public final class MessageBuffer {
  private static final int INITIAL_BYTES = 512;
  private static final int MAX_RETAINED_BYTES = 64 * 1024;
  private static final int HEADER_BYTES = 8;

  private ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(INITIAL_BYTES);

  /** What to write into, from its start. */
  public ExpandableArrayBuffer buffer() {
    return buffer;
  }

  /** A copy of the message that was written: its header and as many bytes of a body. */
  public byte[] copy(int bodyLength) {
    byte[] bytes = new byte[HEADER_BYTES + bodyLength];
    buffer.getBytes(0, bytes);
    if (buffer.capacity() > MAX_RETAINED_BYTES) {
      buffer = new ExpandableArrayBuffer(INITIAL_BYTES);
    }
    return bytes;
  }
}
