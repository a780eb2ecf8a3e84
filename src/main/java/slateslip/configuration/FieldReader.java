package slateslip.configuration;

import io.avaje.json.JsonReader;
import io.avaje.json.stream.BufferRecycleStrategy;
import io.avaje.json.stream.JsonStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the fields of JSON objects by name. A value of an unexpected type is skipped and reported
 * as an error of its field; {@code null} is treated as a missing field. The JSON text must be well
 * formed.
 */
public final class FieldReader implements AutoCloseable {
  /**
   * Recycles buffers per thread. Two readers that are open at the same time in one thread would
   * share a buffer, so each thread opens only one reader at a time.
   */
  private static final JsonStream STREAMS =
      JsonStream.builder().bufferRecycling(BufferRecycleStrategy.THREAD_LOCAL).build();

  private final JsonReader reader;
  private final ValidationErrors problems;
  private String field = "";

  /**
   * Opens a reader. No other reader may be open in the same thread.
   *
   * @param json text of one JSON value
   * @param problems receives an error for each field of an unexpected type
   */
  public FieldReader(byte[] json, ValidationErrors problems) {
    reader = STREAMS.reader(json);
    this.problems = problems;
  }

  /** Reports an error of a field. */
  void report(String fieldName, String reason) {
    problems.report(fieldName, reason);
  }

  /** Opens an object. If the value has another type, skips the value and returns false. */
  public boolean beginObject() {
    if (!expect(JsonReader.Token.BEGIN_OBJECT, "is not an object")) {
      return false;
    }
    reader.beginObject();
    return true;
  }

  /**
   * Moves to the next field of the open object. If there are no more fields, closes the object and
   * returns false.
   */
  public boolean nextField() {
    if (reader.hasNextField()) {
      field = reader.nextField();
      return true;
    }
    reader.endObject();
    return false;
  }

  /** Returns the name of the field whose value is read next. */
  public String field() {
    return field;
  }

  /** Opens an array. If the value has another type, skips the value and returns false. */
  boolean beginArray() {
    if (!expect(JsonReader.Token.BEGIN_ARRAY, "is not a list")) {
      return false;
    }
    reader.beginArray();
    return true;
  }

  /**
   * Moves to the next element of the open array. If there are no more elements, closes the array
   * and returns false.
   */
  boolean nextElement() {
    if (reader.hasNextElement()) {
      return true;
    }
    reader.endArray();
    return false;
  }

  /** Reads a string. Returns null if the value is {@code null} or of another type. */
  public String text() {
    return expect(JsonReader.Token.STRING, "is not a string") ? reader.readString() : null;
  }

  /** Reads a number. Returns the fallback if the value is {@code null} or of another type. */
  double number(double fallback) {
    return expect(JsonReader.Token.NUMBER, "is not a number")
        ? Double.parseDouble(reader.readRaw())
        : fallback;
  }

  /**
   * Reads a number of at least 0 and rounds it up. Returns the fallback if the value is {@code
   * null}, negative or of another type.
   */
  public long count(long fallback) {
    double number = number((double) fallback);
    if (number < 0) {
      report(field, "is below 0");
      return fallback;
    }
    return (long) Math.ceil(number);
  }

  /** Reads a number as {@link #count} does, limited to {@link Integer#MAX_VALUE}. */
  public int intCount(int fallback) {
    return (int) Math.min(Integer.MAX_VALUE, count(fallback));
  }

  /** Reads a boolean. Returns the fallback if the value is {@code null} or of another type. */
  boolean flag(boolean fallback) {
    return expect(JsonReader.Token.BOOLEAN, "is neither true nor false")
        ? reader.readBoolean()
        : fallback;
  }

  /**
   * Reads a list of strings. Returns an empty list if the value is {@code null} or of another type;
   * elements of another type are left out.
   */
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

  /** Skips the next value without reporting an error. */
  public void skip() {
    reader.skipValue();
  }

  @Override
  public void close() {
    reader.close();
  }

  private boolean expect(JsonReader.Token expected, String mismatchReason) {
    JsonReader.Token found = reader.currentToken();
    if (found == expected) {
      return true;
    }
    if (found == JsonReader.Token.NULL) {
      reader.isNullValue();
      return false;
    }
    report(field, mismatchReason);
    reader.skipValue();
    return false;
  }
}
