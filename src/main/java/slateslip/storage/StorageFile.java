package slateslip.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** One open file of the ring. */
public interface StorageFile extends AutoCloseable {
  /** Length in bytes. */
  long length() throws IOException;

  /** Fills the buffer from a position on, as far as the file goes. */
  void read(long position, ByteBuffer into) throws IOException;

  /** Writes all of the buffer at a position. */
  void write(long position, ByteBuffer bytes) throws IOException;

  /** Returns once everything written so far lasts through a loss of power. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;
}
