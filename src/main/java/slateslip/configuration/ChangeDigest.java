package slateslip.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/** Identity of a change that the operator has sent: the same call has the same digest. */
public final class ChangeDigest {
  /** Length in bytes. */
  public static final int LENGTH = 16;

  private static final String ALGORITHM = "SHA-256";

  private final byte[] bytes;

  private ChangeDigest(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Digest of a call.
   *
   * @param method HTTP method
   * @param baseVersion version that the change builds on
   * @param body as it was sent
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

  /** A digest that was stored or received; its length has to be {@link #LENGTH}. */
  public static ChangeDigest ofBytes(byte[] bytes) {
    if (bytes.length != LENGTH) {
      throw new IllegalArgumentException("a digest has " + LENGTH + " bytes: " + bytes.length);
    }
    return new ChangeDigest(bytes.clone());
  }

  /** The digest's bytes. */
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
      throw new IllegalStateException("every Java platform has " + ALGORITHM, impossible);
    }
  }
}
