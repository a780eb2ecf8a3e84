package slateslip.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Records in a file, one behind the other: payload length (4 bytes), kind (1), generation of the
 * file's content (8), index in the file (8), CRC32C of all that and the payload (4), payload. The
 * generation tells what was left from the file's use before.
 */
final class RecordFormat {
  static final int HEADER_BYTES = 25;
  private static final int CHECKED_HEADER_BYTES = 21;
  private static final byte SNAPSHOT = 1;
  private static final byte RECORD = 2;

  /**
   * A header as it was read; it counts once the checksum agrees.
   *
   * @param length of the payload
   * @param kind snapshot or record
   * @param generation of the file's content
   * @param index in the file
   * @param checksum of the rest
   */
  record Header(int length, byte kind, long generation, long index, int checksum) {}

  private RecordFormat() {}

  /** A record ready to be written. The first one of a file is a snapshot. */
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

  /** What stands in the place of a header; empty if the file ends before. */
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

  /** The payload at a position if a complete record of that generation and index is there. */
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
