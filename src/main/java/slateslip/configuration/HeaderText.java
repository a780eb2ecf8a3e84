package slateslip.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Converts text to and from values of HTTP headers. On the wire the text is UTF-8, as it is in the
 * configuration and in heartbeats, but HTTP libraries represent each byte of a header value as one
 * character.
 */
public final class HeaderText {
  private static final char FIRST_NON_ASCII = 0x80;
  private static final char DELETE = 0x7f;

  private HeaderText() {}

  /**
   * Returns whether a header value can carry a text unchanged. Text that is empty, contains a
   * control character other than a tab, contains an unpaired surrogate, or starts or ends with a
   * space or tab cannot be carried.
   */
  public static boolean canCarry(String text) {
    return !text.isEmpty()
        && !isBlank(text.charAt(0))
        && !isBlank(text.charAt(text.length() - 1))
        && text.chars().noneMatch(HeaderText::isControl)
        && (isAscii(text) || StandardCharsets.UTF_8.newEncoder().canEncode(text));
  }

  private static boolean isBlank(char character) {
    return character == ' ' || character == '\t';
  }

  private static boolean isControl(int character) {
    return (character < ' ' && character != '\t') || character == DELETE;
  }

  /**
   * Returns a text as an HTTP library writes it: one character for each byte of the UTF-8 encoding.
   */
  public static String encode(String text) {
    return isAscii(text)
        ? text
        : new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  /**
   * Returns the text of a header value that an HTTP library read as one character per byte. Bytes
   * that are not valid UTF-8 are decoded as ISO 8859-1, which some clients send.
   */
  public static String decode(String value) {
    return isAscii(value) ? value : decodeUtf8(value).orElse(value);
  }

  /**
   * Returns whether a header value that an HTTP library read as one character per byte is valid
   * UTF-8.
   */
  public static boolean isUtf8(String value) {
    return isAscii(value) || decodeUtf8(value).isPresent();
  }

  private static Optional<String> decodeUtf8(String value) {
    try {
      ByteBuffer bytes = ByteBuffer.wrap(value.getBytes(StandardCharsets.ISO_8859_1));
      return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
    } catch (CharacterCodingException notUtf8) {
      return Optional.empty();
    }
  }

  /** Returns whether a text consists of ASCII characters only. */
  static boolean isAscii(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) >= FIRST_NON_ASCII) {
        return false;
      }
    }
    return true;
  }
}
