package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** The scale run's JSON: one mapper for all, and one line an object. */
final class Json {
  static final ObjectMapper MAPPER = new ObjectMapper();
  static final JsonFactory FACTORY = MAPPER.getFactory();

  private Json() {}

  /** One compact line. */
  static String line(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Reads one value; IllegalArgumentException with one plain line if it is none. */
  static JsonNode read(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
    }
  }
}
