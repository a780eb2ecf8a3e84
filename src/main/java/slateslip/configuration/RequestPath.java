package slateslip.configuration;

import java.nio.charset.StandardCharsets;

/**
 * Normalizes request paths and path prefixes. A non-ASCII character may be given unencoded, in
 * UTF-8, or percent-encoded (RFC 3986); both forms denote the same path.
 */
public final class RequestPath {
  private static final String HEX_DIGITS = "0123456789ABCDEF";
  private static final int HEX_RADIX = 16;
  private static final int HEX_DIGIT_BITS = 4;
  private static final int ESCAPED_DIGITS = 2;
  private static final int BYTE_MASK = 0xff;
  private static final int FIRST_NON_ASCII = 0x80;
  private static final int DELETE = 0x7f;

  private RequestPath() {}

  /**
   * Returns the canonical form of a path: each non-ASCII byte is percent-encoded with upper-case
   * digits. Other escapes stay unchanged, because an encoded slash is not a path separator.
   */
  public static String canonical(String path) {
    if (HeaderText.isAscii(path) && path.indexOf('%') < 0) {
      return path;
    }
    byte[] bytes = path.getBytes(StandardCharsets.UTF_8);
    StringBuilder canonical = new StringBuilder(bytes.length);
    for (int i = 0; i < bytes.length; i++) {
      int value = bytes[i] & BYTE_MASK;
      int escaped = value == '%' ? escapedByte(bytes, i) : 0;
      if (escaped >= FIRST_NON_ASCII) {
        appendEscape(canonical, escaped);
        i += ESCAPED_DIGITS;
      } else if (value >= FIRST_NON_ASCII) {
        appendEscape(canonical, value);
      } else {
        canonical.append((char) value);
      }
    }
    return canonical.toString();
  }

  /**
   * Returns the byte that an escape encodes, or -1 if the percent sign is not followed by two
   * hexadecimal digits.
   */
  private static int escapedByte(byte[] path, int percent) {
    if (percent + ESCAPED_DIGITS >= path.length) {
      return -1;
    }
    int high = Character.digit(path[percent + 1], HEX_RADIX);
    int low = Character.digit(path[percent + 2], HEX_RADIX);
    return high < 0 || low < 0 ? -1 : (high << HEX_DIGIT_BITS) + low;
  }

  /**
   * Returns a path as it is written in a request line: every byte that is not a visible ASCII
   * character is percent-encoded.
   */
  public static String encode(String path) {
    StringBuilder encoded = new StringBuilder(path.length());
    for (byte signedByte : path.getBytes(StandardCharsets.UTF_8)) {
      int value = signedByte & BYTE_MASK;
      if (value > ' ' && value < DELETE) {
        encoded.append((char) value);
      } else {
        appendEscape(encoded, value);
      }
    }
    return encoded.toString();
  }

  private static void appendEscape(StringBuilder text, int value) {
    text.append('%');
    text.append(HEX_DIGITS.charAt(value >> HEX_DIGIT_BITS));
    text.append(HEX_DIGITS.charAt(value % HEX_RADIX));
  }
}
