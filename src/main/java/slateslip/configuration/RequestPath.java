package slateslip.configuration;

import java.nio.charset.StandardCharsets;

/**
 * Paths of requests and path prefixes. A letter beyond ASCII may stand as itself, in UTF-8, or
 * percent-encoded (RFC 3986); all forms mean the same path.
 */
public final class RequestPath {
  private static final String HEX_DIGITS = "0123456789ABCDEF";
  private static final int HEX_RADIX = 16;
  private static final int HEX_DIGIT_BITS = 4;
  private static final int ESCAPED_DIGITS = 2;
  private static final int BYTE = 0xff;
  private static final int FIRST_NON_ASCII = 0x80;
  private static final int DELETE = 0x7f;

  private RequestPath() {}

  /**
   * The one form of a path: each byte beyond ASCII is percent-encoded, in upper case. Other escapes
   * stay as they are, for an encoded slash is no slash.
   */
  public static String canonical(String path) {
    if (HeaderText.isAscii(path) && path.indexOf('%') < 0) {
      return path;
    }
    byte[] bytes = path.getBytes(StandardCharsets.UTF_8);
    StringBuilder canonical = new StringBuilder(bytes.length);
    for (int i = 0; i < bytes.length; i++) {
      int value = bytes[i] & BYTE;
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

  /** The byte that an escape stands for; -1 if no two hexadecimal digits follow. */
  private static int escapedByte(byte[] path, int percent) {
    if (percent + ESCAPED_DIGITS >= path.length) {
      return -1;
    }
    int high = Character.digit(path[percent + 1], HEX_RADIX);
    int low = Character.digit(path[percent + 2], HEX_RADIX);
    return high < 0 || low < 0 ? -1 : (high << HEX_DIGIT_BITS) + low;
  }

  /** A path as a request line can carry it: what is not visible ASCII is percent-encoded. */
  public static String encode(String path) {
    StringBuilder encoded = new StringBuilder(path.length());
    for (byte unit : path.getBytes(StandardCharsets.UTF_8)) {
      int value = unit & BYTE;
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
