package slateslip.protocol;

import java.nio.ByteOrder;
import org.agrona.DirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * Decodes one SBE message of a schema. Malformed bytes yield {@link Decoded.Malformed} instead of
 * an exception.
 */
public final class MessageReader {
  private static final int HEADER_BYTES = 8;
  private static final int TEMPLATE_OFFSET = 2;
  private static final int SCHEMA_OFFSET = 4;
  private static final int UNSIGNED_SHORT = 0xffff;

  private MessageReader() {}

  /** Decodes messages of a schema by their template id. */
  public interface BodyReader<T> {
    /**
     * Decodes the message, header included. Returns null if the template is unknown.
     *
     * @throws IndexOutOfBoundsException if a field reaches beyond the buffer
     * @throws IllegalArgumentException if a field has an unknown value
     */
    T read(DirectBuffer buffer, int template);
  }

  /** Returns the schema id of a message, or -1 if the message is shorter than a header. */
  public static int schemaOf(byte[] message) {
    return message.length < HEADER_BYTES ? -1 : unsignedShort(message, SCHEMA_OFFSET);
  }

  /** Decodes a message. A message of another schema yields {@link Decoded.Unknown}. */
  public static <T> Decoded<T> read(byte[] message, int expectedSchema, BodyReader<T> bodyReader) {
    if (message.length < HEADER_BYTES) {
      return new Decoded.Malformed<>("incomplete message header of " + message.length + " bytes");
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
   * Returns the length of a document within a message after checking it against the size of the
   * message. Without the check, a malformed length would cause an allocation of any size.
   *
   * @param offset offset of the first byte of the document
   * @param length length of the document according to the message
   * @throws IndexOutOfBoundsException if the document does not fit into the message
   */
  public static int checkedLength(DirectBuffer buffer, int offset, int length) {
    int remaining = buffer.capacity() - offset;
    if (length < 0 || length > remaining) {
      throw new IndexOutOfBoundsException(
          "document length "
              + length
              + " is not between 0 and the remaining "
              + remaining
              + " bytes");
    }
    return length;
  }

  private static int unsignedShort(byte[] message, int offset) {
    UnsafeBuffer buffer = new UnsafeBuffer(message);
    return buffer.getShort(offset, ByteOrder.LITTLE_ENDIAN) & UNSIGNED_SHORT;
  }
}
