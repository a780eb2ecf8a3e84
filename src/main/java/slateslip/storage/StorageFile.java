package slateslip.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** An open file of the ring. */
public interface StorageFile extends AutoCloseable {
  /** Returns the length of the file in bytes. */
  long length() throws IOException;

  /** Reads from a position into the buffer until the buffer is full or the file ends. */
  void read(long position, ByteBuffer into) throws IOException;

  /** Writes all remaining bytes of the buffer at a position. */
  void write(long position, ByteBuffer bytes) throws IOException;

  /** Forces all bytes written so far to the disk, so that the bytes survive a loss of power. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;
}
