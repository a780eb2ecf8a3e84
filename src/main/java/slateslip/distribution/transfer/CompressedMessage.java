package slateslip.distribution.transfer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import slateslip.distribution.ControlPlaneMessage;

/**
 * An encoded message in compressed form. The identity is derived from the compressed bytes, so that
 * a data plane continues a transfer at any agent that sends the same bytes. Immutable.
 */
public final class CompressedMessage {
  private static final int BUFFER_BYTES = 16 * 1024;

  private final long transfer;
  private final byte[] content;

  private CompressedMessage(byte[] content) {
    this.content = content;
    transfer = identity(content);
  }

  /** Compresses an encoded message. */
  public static CompressedMessage of(byte[] message) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(message);
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        compressed.write(buffer, 0, deflater.deflate(buffer));
      }
      return new CompressedMessage(compressed.toByteArray());
    } finally {
      deflater.end();
    }
  }

  /**
   * Returns the message that was compressed into these bytes; empty if the bytes are not a
   * compressed message or if the message is longer than the limit.
   */
  static Optional<byte[]> decompress(byte[] content, int maxMessageBytes) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(content);
      ByteArrayOutputStream message = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished() && message.size() <= maxMessageBytes) {
        int bytes = inflater.inflate(buffer);
        if (bytes == 0 && !inflater.finished()) {
          return Optional.empty();
        }
        message.write(buffer, 0, bytes);
      }
      boolean tooLong = message.size() > maxMessageBytes;
      return tooLong ? Optional.empty() : Optional.of(message.toByteArray());
    } catch (DataFormatException e) {
      return Optional.empty();
    } finally {
      inflater.end();
    }
  }

  /** Returns the identity of compressed bytes: the first bytes of their SHA-256 digest. */
  static long identity(byte[] content) {
    try {
      return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(content)).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Returns the identity of the transfer. */
  public long transfer() {
    return transfer;
  }

  /** Returns the number of compressed bytes. */
  public int length() {
    return content.length;
  }

  /** Returns the segment that begins at an offset and has at most this number of bytes. */
  ControlPlaneMessage.Segment segment(int offset, int maxBytes) {
    int end = Math.min(content.length, offset + maxBytes);
    return new ControlPlaneMessage.Segment(
        transfer, content.length, offset, Arrays.copyOfRange(content, offset, end));
  }
}
