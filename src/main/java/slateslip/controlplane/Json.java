package slateslip.controlplane;

import io.avaje.json.JsonWriter;
import io.avaje.json.stream.JsonStream;
import java.io.StringWriter;

/** Encodes strings as JSON. */
final class Json {
  private static final JsonStream STREAMS = JsonStream.builder().build();

  private Json() {}

  /** Returns a string as a JSON string with quotes and escapes. */
  static String quoted(String text) {
    StringWriter written = new StringWriter();
    try (JsonWriter writer = STREAMS.writer(written)) {
      writer.value(text);
    }
    return written.toString();
  }
}
