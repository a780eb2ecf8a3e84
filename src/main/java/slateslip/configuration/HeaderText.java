package slateslip.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Text in the values of HTTP headers. On the wire it is UTF-8, as in the configuration and in
 * heartbeats; HTTP libraries read and write one character a byte.
 */
public final class HeaderText {
  private static final char FIRST_NON_ASCII = 0x80;
  private static final char DELETE = 0x7f;

  private HeaderText() {}

  /**
   * Whether a header's value can carry a text unchanged: not if it is empty, has a control
   * character other than a tab or half of a surrogate pair, or a blank at either end.
   */
  public static boolean fits(String text) {
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

  /** A text as a library writes it, one character for each byte of its UTF-8. */
  public static String encode(String text) {
    return isAscii(text)
        ? text
        : new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  /**
   * The text of a value as a library read it, one character a byte. Bytes that are not UTF-8 are
   * taken as ISO 8859-1, as some clients write it.
   */
  public static String decode(String value) {
    return isAscii(value) ? value : decodeUtf8(value).orElse(value);
  }

  /** Whether the bytes of a value as a library read it are UTF-8. */
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

  /** Whether a text has characters of ASCII alone. */
  static boolean isAscii(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) >= FIRST_NON_ASCII) {
        return false;
      }
    }
    return true;
  }
}
