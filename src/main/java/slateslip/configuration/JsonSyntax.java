package slateslip.configuration;

/**
 * Checks that a byte array is exactly one JSON value (RFC 8259) in UTF-8, without trailing bytes.
 *
 * <p>The JSON library does not fully check values that it skips. A document that is stored and
 * returned to clients must be well formed throughout.
 */
public final class JsonSyntax {
  /** Maximum nesting depth of objects and arrays. Bounds the stack depth of the parsers. */
  static final int MAX_DEPTH = 64;

  private static final int FIRST_PRINTABLE = 0x20;
  private static final int FIRST_NON_ASCII = 0x80;
  private static final int UNICODE_ESCAPE_DIGITS = 4;

  private final byte[] text;
  private int position;
  private String problem;

  private JsonSyntax(byte[] text) {
    this.text = text;
  }

  /** Returns the first syntax error with its byte offset, or null if the bytes are well formed. */
  public static String findProblem(byte[] text) {
    JsonSyntax syntax = new JsonSyntax(text);
    if (syntax.value(0) && syntax.onlyWhitespaceFollows()) {
      return null;
    }
    return syntax.problem + " at byte " + syntax.position;
  }

  private boolean onlyWhitespaceFollows() {
    skipWhitespace();
    return position == text.length || fail("more bytes follow the document");
  }

  private boolean value(int depth) {
    skipWhitespace();
    if (position == text.length) {
      return fail("the document ends early");
    }
    return switch (text[position]) {
      case '{' -> depth < MAX_DEPTH ? object(depth) : fail("nested too deep");
      case '[' -> depth < MAX_DEPTH ? array(depth) : fail("nested too deep");
      case '"' -> string();
      case 't' -> literal("true");
      case 'f' -> literal("false");
      case 'n' -> literal("null");
      default -> number();
    };
  }

  private boolean object(int depth) {
    position++;
    if (consumeAfterWhitespace('}')) {
      return true;
    }
    do {
      skipWhitespace();
      if (!string() || !expect(':') || !value(depth + 1)) {
        return false;
      }
    } while (consumeAfterWhitespace(','));
    return expect('}');
  }

  private boolean array(int depth) {
    position++;
    if (consumeAfterWhitespace(']')) {
      return true;
    }
    do {
      if (!value(depth + 1)) {
        return false;
      }
    } while (consumeAfterWhitespace(','));
    return expect(']');
  }

  private boolean string() {
    if (!consume('"')) {
      return fail("a string is expected");
    }
    while (position < text.length) {
      int character = text[position] & 0xff;
      if (character == '"') {
        position++;
        return true;
      }
      if (character < FIRST_PRINTABLE) {
        return fail("a control character in a string");
      }
      boolean consumed =
          character == '\\'
              ? escape()
              : character < FIRST_NON_ASCII ? consumeByte() : multiByteCharacter(character);
      if (!consumed) {
        return false;
      }
    }
    return fail("the document ends early");
  }

  private boolean consumeByte() {
    position++;
    return true;
  }

  private boolean escape() {
    position++;
    if (position == text.length) {
      return fail("the document ends early");
    }
    byte kind = text[position++];
    if (kind != 'u') {
      return "\"\\/bfnrt".indexOf(kind) >= 0 || fail("an unknown escape");
    }
    for (int digit = 0; digit < UNICODE_ESCAPE_DIGITS; digit++) {
      if (position == text.length || Character.digit(text[position], 16) < 0) {
        return fail("an incomplete unicode escape");
      }
      position++;
    }
    return true;
  }

  /** Consumes one character that UTF-8 encodes in two to four bytes. */
  private boolean multiByteCharacter(int lead) {
    int following = lead >= 0xc2 && lead < 0xe0 ? 1 : lead >= 0xe0 && lead < 0xf0 ? 2 : 3;
    if (lead < 0xc2 || lead > 0xf4 || position + following >= text.length) {
      return fail("bytes that are not UTF-8");
    }
    int second = text[position + 1] & 0xff;
    int lowest = lead == 0xe0 ? 0xa0 : lead == 0xf0 ? 0x90 : 0x80;
    int highest = lead == 0xed ? 0x9f : lead == 0xf4 ? 0x8f : 0xbf;
    if (second < lowest || second > highest) {
      return fail("bytes that are not UTF-8");
    }
    for (int index = 2; index <= following; index++) {
      if ((text[position + index] & 0xc0) != 0x80) {
        return fail("bytes that are not UTF-8");
      }
    }
    position += 1 + following;
    return true;
  }

  private boolean number() {
    consume('-');
    if (!consume('0') && !digits()) {
      return fail("a value is expected");
    }
    if (consume('.') && !digits()) {
      return fail("digits are expected");
    }
    if (consume('e') || consume('E')) {
      if (!consume('+')) {
        consume('-');
      }
      return digits() || fail("digits are expected");
    }
    return true;
  }

  private boolean digits() {
    int start = position;
    while (position < text.length && text[position] >= '0' && text[position] <= '9') {
      position++;
    }
    return position > start;
  }

  private boolean literal(String literal) {
    for (int index = 0; index < literal.length(); index++) {
      if (!consume(literal.charAt(index))) {
        return fail("a value is expected");
      }
    }
    return true;
  }

  private boolean expect(char character) {
    return consumeAfterWhitespace(character) || fail("'" + character + "' is expected");
  }

  private boolean consumeAfterWhitespace(char character) {
    skipWhitespace();
    return consume(character);
  }

  private boolean consume(char character) {
    if (position < text.length && text[position] == character) {
      position++;
      return true;
    }
    return false;
  }

  private void skipWhitespace() {
    while (position < text.length && isWhitespace(text[position])) {
      position++;
    }
  }

  private static boolean isWhitespace(byte character) {
    return character == ' ' || character == '\n' || character == '\r' || character == '\t';
  }

  private boolean fail(String what) {
    if (problem == null) {
      problem = what;
    }
    return false;
  }
}
