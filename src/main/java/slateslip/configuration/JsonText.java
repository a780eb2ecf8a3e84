package slateslip.configuration;

/** Writes JSON strings. */
final class JsonText {
  private JsonText() {}

  /** Returns a text as a JSON string, with its quotation marks. */
  static String quoted(String text) {
    StringBuilder quoted = new StringBuilder(text.length() + 2).append('"');
    for (int index = 0; index < text.length(); index++) {
      char character = text.charAt(index);
      if (character == '"' || character == '\\') {
        quoted.append('\\').append(character);
      } else if (character < ' ') {
        quoted.append(String.format("\\u%04x", (int) character));
      } else {
        quoted.append(character);
      }
    }
    return quoted.append('"').toString();
  }
}
