package slateslip.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Format of the records in a file. The records follow each other without gaps. Each record consists
 * of the payload length (4 bytes), the kind (1 byte), the generation of the file's content (8
 * bytes), the index of the record in the file (8 bytes), the CRC32C checksum of these fields and
 * the payload (4 bytes), and the payload. The generation distinguishes current records from records
 * that an earlier use of the same file left behind.
 */
final class RecordFormat {
  static final int HEADER_BYTES = 25;
  private static final int CHECKED_HEADER_BYTES = 21;
  private static final byte SNAPSHOT = 1;
  private static final byte RECORD = 2;

  /**
   * The header of a record as read from the file. The header is valid only if the checksum matches.
   *
   * @param length the length of the payload in bytes
   * @param kind the kind of the record: snapshot or record
   * @param generation the generation of the file's content
   * @param index the index of the record in the file
   * @param checksum the checksum of the other header fields and the payload
   */
  record Header(int length, byte kind, long generation, long index, int checksum) {}

  private RecordFormat() {}

  /** Encodes a record with its header. The record with index 0 is the snapshot of the file. */
  static ByteBuffer encode(long generation, long index, byte[] payload) {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    putHeader(buffer, payload.length, kindAt(index), generation, index);
    buffer.putInt(checksum(payload.length, kindAt(index), generation, index, payload));
    buffer.put(payload);
    return buffer.flip();
  }

  private static byte kindAt(long index) {
    return index == 0 ? SNAPSHOT : RECORD;
  }

  private static void putHeader(
      ByteBuffer buffer, int length, byte kind, long generation, long index) {
    buffer.putInt(length).put(kind).putLong(generation).putLong(index);
  }

  private static int checksum(int length, byte kind, long generation, long index, byte[] payload) {
    ByteBuffer header = ByteBuffer.allocate(CHECKED_HEADER_BYTES);
    putHeader(header, length, kind, generation, index);
    CRC32C crc = new CRC32C();
    crc.update(header.flip());
    crc.update(payload);
    return (int) crc.getValue();
  }

  /**
   * Reads the bytes at a position as a header without validating the header, or returns empty if
   * the file ends before the end of the header.
   */
  static Optional<Header> header(StorageFile file, long position) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES);
    file.read(position, buffer);
    if (buffer.hasRemaining()) {
      return Optional.empty();
    }
    buffer.flip();
    return Optional.of(
        new Header(
            buffer.getInt(), buffer.get(), buffer.getLong(), buffer.getLong(), buffer.getInt()));
  }

  /**
   * Returns the payload of the record at a position, or empty if no complete record of the given
   * generation and index with a valid checksum starts there.
   */
  static Optional<byte[]> payload(StorageFile file, long position, long generation, long index)
      throws IOException {
    Optional<Header> found = header(file, position);
    if (found.isEmpty()) {
      return Optional.empty();
    }
    Header header = found.get();
    long remaining = file.length() - position - HEADER_BYTES;
    boolean expected =
        header.generation() == generation
            && header.index() == index
            && header.kind() == kindAt(index)
            && header.length() >= 0
            && header.length() <= remaining;
    if (!expected) {
      return Optional.empty();
    }
    ByteBuffer payload = ByteBuffer.allocate(header.length());
    file.read(position + HEADER_BYTES, payload);
    int checksum = checksum(header.length(), header.kind(), generation, index, payload.array());
    return checksum == header.checksum() ? Optional.of(payload.array()) : Optional.empty();
  }
}
