package slateslip.configuration;

import io.avaje.json.JsonReader;
import io.avaje.json.stream.BufferRecycleStrategy;
import io.avaje.json.stream.JsonStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the fields of JSON objects by name. A value of another type is skipped and remembered as
 * the problem of its field; {@code null} reads as a missing field. The text has to be well formed.
 */
public final class FieldReader implements AutoCloseable {
  /** Two readers that are open at once in a thread would share a buffer: only one is opened. */
  private static final JsonStream STREAMS =
      JsonStream.builder().bufferRecycling(BufferRecycleStrategy.THREAD_LOCAL).build();

  private final JsonReader reader;
  private final ValidationErrors problems;
  private String field = "";

  /**
   * Opens a reader; no other may be open in this thread.
   *
   * @param json one value
   * @param problems where fields of a wrong type are reported
   */
  public FieldReader(byte[] json, ValidationErrors problems) {
    reader = STREAMS.reader(json);
    this.problems = problems;
  }

  /** Reports a problem of a field. */
  void report(String fieldName, String reason) {
    problems.report(fieldName, reason);
  }

  /** Opens an object; false if the value is of another type, which is skipped. */
  public boolean beginObject() {
    if (!is(JsonReader.Token.BEGIN_OBJECT, "is not an object")) {
      return false;
    }
    reader.beginObject();
    return true;
  }

  /** Goes on to the next field of the open object; closes it if there is none. */
  public boolean nextField() {
    if (reader.hasNextField()) {
      field = reader.nextField();
      return true;
    }
    reader.endObject();
    return false;
  }

  /** Name of the field that is read next. */
  public String field() {
    return field;
  }

  /** Opens an array; false if the value is of another type, which is skipped. */
  boolean beginArray() {
    if (!is(JsonReader.Token.BEGIN_ARRAY, "is not a list")) {
      return false;
    }
    reader.beginArray();
    return true;
  }

  /** Goes on to the next element of the open array; closes it if there is none. */
  boolean nextElement() {
    if (reader.hasNextElement()) {
      return true;
    }
    reader.endArray();
    return false;
  }

  /** A string; null if it is missing or of another type. */
  public String text() {
    return is(JsonReader.Token.STRING, "is not a string") ? reader.readString() : null;
  }

  /** A number; the fallback if it is missing or of another type. */
  double number(double fallback) {
    return is(JsonReader.Token.NUMBER, "is not a number")
        ? Double.parseDouble(reader.readRaw())
        : fallback;
  }

  /** A number of at least 0, rounded up; the fallback if it is missing or of another type. */
  public long count(long fallback) {
    double number = number((double) fallback);
    if (number < 0) {
      report(field, "is below 0");
      return fallback;
    }
    return (long) Math.ceil(number);
  }

  /** As {@link #count}, cut off at the largest {@code int}. */
  public int smallCount(int fallback) {
    return (int) Math.min(Integer.MAX_VALUE, count(fallback));
  }

  /** A boolean; the fallback if it is missing or of another type. */
  boolean flag(boolean fallback) {
    return is(JsonReader.Token.BOOLEAN, "is neither true nor false")
        ? reader.readBoolean()
        : fallback;
  }

  /** A list of strings; empty if it is missing or of another type. */
  List<String> texts() {
    List<String> texts = new ArrayList<>();
    if (!beginArray()) {
      return texts;
    }
    while (nextElement()) {
      String text = text();
      if (text != null) {
        texts.add(text);
      }
    }
    return texts;
  }

  /** Skips a value. */
  public void skip() {
    reader.skipValue();
  }

  @Override
  public void close() {
    reader.close();
  }

  private boolean is(JsonReader.Token expected, String otherwise) {
    JsonReader.Token found = reader.currentToken();
    if (found == expected) {
      return true;
    }
    if (found == JsonReader.Token.NULL) {
      reader.isNullValue();
      return false;
    }
    report(field, otherwise);
    reader.skipValue();
    return false;
  }
}
