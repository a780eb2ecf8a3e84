package slateslip.protocol;

import java.nio.ByteOrder;
import org.agrona.DirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/** Reads one SBE message of a schema; whatever is wrong with its bytes becomes a value. */
public final class MessageReader {
  private static final int HEADER_BYTES = 8;
  private static final int TEMPLATE_OFFSET = 2;
  private static final int SCHEMA_OFFSET = 4;
  private static final int UNSIGNED_SHORT = 0xffff;

  private MessageReader() {}

  /** Reads the body of a message of one kind; null if the kind is not known. */
  public interface BodyReader<T> {
    /**
     * Reads the message, header included.
     *
     * @throws IndexOutOfBoundsException if it reaches beyond the buffer
     * @throws IllegalArgumentException if it holds an unknown value
     */
    T read(DirectBuffer buffer, int template);
  }

  /** Schema id of a message; -1 if it has no whole header. */
  public static int schemaOf(byte[] message) {
    return message.length < HEADER_BYTES ? -1 : unsignedShort(message, SCHEMA_OFFSET);
  }

  /** Reads a message. */
  public static <T> Decoded<T> read(byte[] message, int expectedSchema, BodyReader<T> bodyReader) {
    if (message.length < HEADER_BYTES) {
      return new Decoded.Malformed<>("no whole header in " + message.length + " bytes");
    }
    int schema = unsignedShort(message, SCHEMA_OFFSET);
    int template = unsignedShort(message, TEMPLATE_OFFSET);
    if (schema != expectedSchema) {
      return new Decoded.Unknown<>(schema, template);
    }
    try {
      T value = bodyReader.read(new UnsafeBuffer(message), template);
      return value == null ? new Decoded.Unknown<>(schema, template) : new Decoded.Message<>(value);
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      return new Decoded.Malformed<>("message " + template + ": " + e.getMessage());
    }
  }

  /**
   * The length of a document, if the message holds as much: else memory of any size would be taken.
   *
   * @param offset of the document's first byte
   * @param length as the message says
   */
  public static int checkedLength(DirectBuffer buffer, int offset, int length) {
    int left = buffer.capacity() - offset;
    if (length < 0 || length > left) {
      throw new IndexOutOfBoundsException(
          "a document of " + length + " bytes where " + left + " are");
    }
    return length;
  }

  private static int unsignedShort(byte[] message, int offset) {
    UnsafeBuffer buffer = new UnsafeBuffer(message);
    return buffer.getShort(offset, ByteOrder.LITTLE_ENDIAN) & UNSIGNED_SHORT;
  }
}
