package slateslip.settings;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.util.Properties;

/**
 * Reads {@code key=value} lines into {@link Properties} and takes every character literally. The
 * settings file does not support the escapes, line continuations and alternative separators of the
 * properties format, so characters that are special in that format are escaped first.
 */
final class LiteralProperties {
  private static final String SPECIAL_IN_KEY = "\\ \t\f:#!";

  private LiteralProperties() {}

  /** Reads all lines. If a key occurs more than once, the last value is used. */
  static Properties read(Reader source) throws IOException {
    BufferedReader lines = new BufferedReader(source);
    StringBuilder escaped = new StringBuilder();
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      String content = line.strip();
      if (!content.isEmpty() && !isComment(content)) {
        appendEscaped(escaped, content);
      }
    }
    Properties properties = new Properties();
    properties.load(new StringReader(escaped.toString()));
    return properties;
  }

  private static boolean isComment(String line) {
    return line.startsWith("#");
  }

  private static void appendEscaped(StringBuilder escaped, String line) {
    int separator = line.indexOf('=');
    int keyEnd = separator < 0 ? line.length() : separator;
    String key = line.substring(0, keyEnd).strip();
    for (int index = 0; index < key.length(); index++) {
      char character = key.charAt(index);
      if (SPECIAL_IN_KEY.indexOf(character) >= 0) {
        escaped.append('\\');
      }
      escaped.append(character);
    }
    escaped.append('=');
    if (separator >= 0) {
      escaped.append(line.substring(separator + 1).strip().replace("\\", "\\\\"));
    }
    escaped.append('\n');
  }
}
