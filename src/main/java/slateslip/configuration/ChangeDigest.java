package slateslip.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Digest that identifies a configuration change sent by the operator. Two requests with the same
 * method, base version and body have the same digest.
 */
public final class ChangeDigest {
  /** Length of a digest in bytes. */
  public static final int LENGTH = 16;

  private static final String ALGORITHM = "SHA-256";

  private final byte[] bytes;

  private ChangeDigest(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Computes the digest of a request.
   *
   * @param method HTTP method of the request
   * @param baseVersion configuration version that the change is based on
   * @param body request body, byte for byte as received
   */
  public static ChangeDigest of(String method, long baseVersion, byte[] body) {
    MessageDigest digest = sha256();
    byte[] methodBytes = method.getBytes(StandardCharsets.UTF_8);
    digest.update(
        ByteBuffer.allocate(Integer.BYTES + Long.BYTES)
            .putInt(methodBytes.length)
            .putLong(baseVersion)
            .array());
    digest.update(methodBytes);
    return new ChangeDigest(Arrays.copyOf(digest.digest(body), LENGTH));
  }

  /**
   * Wraps the bytes of a stored or received digest.
   *
   * @throws IllegalArgumentException if the length is not {@link #LENGTH}
   */
  public static ChangeDigest ofBytes(byte[] bytes) {
    if (bytes.length != LENGTH) {
      throw new IllegalArgumentException(
          "expected a digest of " + LENGTH + " bytes: got " + bytes.length);
    }
    return new ChangeDigest(bytes.clone());
  }

  /** Returns a copy of the bytes of the digest. */
  public byte[] toBytes() {
    return bytes.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ChangeDigest digest && Arrays.equals(bytes, digest.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return HexFormat.of().formatHex(bytes);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(
          "the Java platform does not provide " + ALGORITHM, impossible);
    }
  }
}
