package slateslip.protocol;

import org.agrona.ExpandableArrayBuffer;

/**
 * Reusable buffer for encoding one message at a time. After a large message the buffer shrinks to
 * its initial size, so that the memory is not retained.
 */
public final class MessageBuffer {
  private static final int INITIAL_BYTES = 512;
  private static final int MAX_RETAINED_BYTES = 64 * 1024;
  private static final int HEADER_BYTES = 8;

  private ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(INITIAL_BYTES);

  /** Returns the buffer to encode a message into, starting at offset 0. */
  public ExpandableArrayBuffer buffer() {
    return buffer;
  }

  /**
   * Returns a copy of the encoded message, which is its header and {@code bodyLength} bytes of
   * body.
   */
  public byte[] copy(int bodyLength) {
    byte[] bytes = new byte[HEADER_BYTES + bodyLength];
    buffer.getBytes(0, bytes);
    if (buffer.capacity() > MAX_RETAINED_BYTES) {
      buffer = new ExpandableArrayBuffer(INITIAL_BYTES);
    }
    return bytes;
  }
}
