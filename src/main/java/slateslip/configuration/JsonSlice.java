package slateslip.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * One value within a well-formed JSON text. Iterates over the elements or fields of the value
 * without parsing them.
 *
 * @param text the complete JSON text in UTF-8; must not be modified
 * @param start offset of the first byte of the value
 * @param end offset after the last byte of the value
 */
record JsonSlice(byte[] text, int start, int end) {
  private static final int NULL_LENGTH = 4;

  /**
   * Returns the single value of a JSON text, which must be well formed according to {@link
   * JsonSyntax}.
   */
  static JsonSlice ofDocument(byte[] text) {
    int start = skipSeparators(text, 0);
    return new JsonSlice(text, start, skipValue(text, start));
  }

  boolean isObject() {
    return text[start] == '{';
  }

  boolean isList() {
    return text[start] == '[';
  }

  boolean isNull() {
    return text[start] == 'n' && end - start == NULL_LENGTH;
  }

  /** Returns a copy of the bytes of the value. */
  byte[] toBytes() {
    return Arrays.copyOfRange(text, start, end);
  }

  @Override
  public String toString() {
    return new String(text, start, end - start, StandardCharsets.UTF_8);
  }

  /** Calls the action with each element of a list, in order. */
  void forEachElement(Consumer<JsonSlice> action) {
    int position = skipSeparators(text, start + 1);
    while (text[position] != ']') {
      int after = skipValue(text, position);
      action.accept(new JsonSlice(text, position, after));
      position = skipSeparators(text, after);
    }
  }

  /** Calls the action with the name and the value of each field of an object, in order. */
  void forEachField(BiConsumer<String, JsonSlice> action) {
    int position = skipSeparators(text, start + 1);
    while (text[position] != '}') {
      int nameEnd = skipValue(text, position);
      int valueStart = skipSeparators(text, nameEnd);
      int after = skipValue(text, valueStart);
      String name = fieldName(new JsonSlice(text, position, nameEnd));
      action.accept(name, new JsonSlice(text, valueStart, after));
      position = skipSeparators(text, after);
    }
  }

  private static String fieldName(JsonSlice quotedName) {
    String name = quotedName.toString();
    if (name.indexOf('\\') < 0) {
      return name.substring(1, name.length() - 1);
    }
    try (FieldReader reader = new FieldReader(quotedName.toBytes(), new ValidationErrors())) {
      return reader.text();
    }
  }

  /** Returns the offset of the first byte that is not whitespace, a comma or a colon. */
  private static int skipSeparators(byte[] text, int from) {
    int position = from;
    while (text[position] <= ' ' || text[position] == ',' || text[position] == ':') {
      position++;
    }
    return position;
  }

  private static int skipValue(byte[] text, int from) {
    return switch (text[from]) {
      case '"' -> skipString(text, from);
      case '{', '[' -> skipNested(text, from);
      default -> skipLiteral(text, from);
    };
  }

  private static int skipString(byte[] text, int from) {
    int position = from + 1;
    while (text[position] != '"') {
      position += text[position] == '\\' ? 2 : 1;
    }
    return position + 1;
  }

  private static int skipNested(byte[] text, int from) {
    int depth = 0;
    int position = from;
    do {
      byte character = text[position];
      if (character == '"') {
        position = skipString(text, position);
        continue;
      }
      if (character == '{' || character == '[') {
        depth++;
      } else if (character == '}' || character == ']') {
        depth--;
      }
      position++;
    } while (depth > 0);
    return position;
  }

  private static int skipLiteral(byte[] text, int from) {
    int position = from;
    while (position < text.length && isPartOfLiteral(text[position])) {
      position++;
    }
    return position;
  }

  private static boolean isPartOfLiteral(byte character) {
    return Character.isLetterOrDigit(character)
        || character == '+'
        || character == '-'
        || character == '.';
  }
}
