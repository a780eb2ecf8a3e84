package slateslip.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * One value within a well-formed JSON text; it gives out the values inside it without reading them.
 *
 * @param text the complete text, in UTF-8; not to be modified
 * @param start offset of the value's first byte
 * @param end offset behind its last byte
 */
record JsonSlice(byte[] text, int start, int end) {
  private static final int NULL_LENGTH = 4;

  /** The one value of a text that {@link JsonSyntax} has found well formed. */
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

  /** A copy of the value's bytes. */
  byte[] toBytes() {
    return Arrays.copyOfRange(text, start, end);
  }

  @Override
  public String toString() {
    return new String(text, start, end - start, StandardCharsets.UTF_8);
  }

  /** Gives out the elements of a list in their order. */
  void forEachElement(Consumer<JsonSlice> action) {
    int position = skipSeparators(text, start + 1);
    while (text[position] != ']') {
      int after = skipValue(text, position);
      action.accept(new JsonSlice(text, position, after));
      position = skipSeparators(text, after);
    }
  }

  /** Gives out the fields of an object in their order. */
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

  private static String fieldName(JsonSlice quoted) {
    String name = quoted.toString();
    if (name.indexOf('\\') < 0) {
      return name.substring(1, name.length() - 1);
    }
    try (FieldReader reader = new FieldReader(quoted.toBytes(), new ValidationErrors())) {
      return reader.text();
    }
  }

  /** Skips blanks, commas and colons. */
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
      default -> skipWord(text, from);
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
      byte unit = text[position];
      if (unit == '"') {
        position = skipString(text, position);
        continue;
      }
      if (unit == '{' || unit == '[') {
        depth++;
      } else if (unit == '}' || unit == ']') {
        depth--;
      }
      position++;
    } while (depth > 0);
    return position;
  }

  private static int skipWord(byte[] text, int from) {
    int position = from;
    while (position < text.length && isPartOfWord(text[position])) {
      position++;
    }
    return position;
  }

  private static boolean isPartOfWord(byte unit) {
    return Character.isLetterOrDigit(unit) || unit == '+' || unit == '-' || unit == '.';
  }
}
