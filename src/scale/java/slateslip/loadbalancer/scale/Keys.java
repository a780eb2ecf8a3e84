package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * An object of an experiment's file, read key by key. A key that is missing, out of its range or
 * known to nobody is a {@link BadExperiment} that names it: an experiment with a slip in it is not
 * played.
 */
public final class Keys {
  private final String path;
  private final JsonNode node;
  private final Set<String> requested = new TreeSet<>();
  private final List<Keys> sections = new ArrayList<>();

  private Keys(String path, JsonNode node) {
    this.path = path;
    this.node = node;
  }

  /** Reads a file. */
  public static Keys read(Path file) {
    try {
      return of(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new BadExperiment(file + ": cannot be read");
    }
  }

  /** Reads an experiment's text; the name stands before each complaint. */
  public static Keys of(String name, String text) {
    JsonNode node;
    try {
      node = Json.read(text);
    } catch (IllegalArgumentException e) {
      throw new BadExperiment(name + ": " + e.getMessage().lines().findFirst().orElse("not JSON"));
    }
    if (!node.isObject()) {
      throw new BadExperiment(name + ": no JSON object");
    }
    return new Keys(name + ":", node);
  }

  /** A word or a line; the other where the key is absent, and a complaint where that is null. */
  public String text(String key, String otherwise) {
    JsonNode value = get(key, otherwise == null);
    if (value == null) {
      return otherwise;
    }
    if (!value.isTextual()) {
      throw bad(key, "is no text: " + value);
    }
    return value.asText();
  }

  /** A whole number in a range. */
  public int full(String key, int otherwise, int min, int max) {
    JsonNode value = get(key, false);
    return value == null ? otherwise : full(key, value, min, max);
  }

  /** A number in a range. */
  public double number(String key, double otherwise, double min, double max) {
    JsonNode value = get(key, false);
    if (value == null) {
      return otherwise;
    }
    if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
      throw bad(key, "is no number from " + min + " to " + max + ": " + value);
    }
    return value.asDouble();
  }

  /** Whole numbers in a range, at least one. */
  public List<Integer> wholes(String key, List<Integer> otherwise, int min, int max) {
    JsonNode value = get(key, false);
    if (value == null) {
      return otherwise;
    }
    if (!value.isArray() || value.isEmpty()) {
      throw bad(key, "is no list of numbers: " + value);
    }
    List<Integer> wholes = new ArrayList<>();
    value.forEach(each -> wholes.add(full(key, each, min, max)));
    return List.copyOf(wholes);
  }

  /** A word out of a set; a complaint where the other is null and the key is absent. */
  public String word(String key, String otherwise, Set<String> known) {
    String word = text(key, otherwise);
    if (!known.contains(word)) {
      throw bad(key, "is none of " + new TreeSet<>(known) + ": " + word);
    }
    return word;
  }

  /** The objects of a list. */
  public List<Keys> list(String key) {
    JsonNode value = get(key, false);
    List<Keys> list = new ArrayList<>();
    if (value != null) {
      if (!value.isArray()) {
        throw bad(key, "is no list: " + value);
      }
      for (JsonNode each : value) {
        if (!each.isObject()) {
          throw bad(key, "holds no object: " + each);
        }
        list.add(new Keys(path + " " + key + "[" + list.size() + "]", each));
      }
    }
    sections.addAll(list);
    return list;
  }

  /** Whether the key is there. */
  public boolean has(String key) {
    return node.has(key);
  }

  /**
   * Complains about the first key that nobody has asked for, here and in what was read from here.
   */
  public void end() {
    node.fieldNames()
        .forEachRemaining(
            key -> {
              if (!requested.contains(key)) {
                throw bad(key, "is unknown; known are " + requested);
              }
            });
    sections.forEach(Keys::end);
  }

  /** A complaint about a key. */
  public BadExperiment bad(String key, String what) {
    return new BadExperiment(path + " " + key + " " + what);
  }

  private JsonNode get(String key, boolean needed) {
    requested.add(key);
    JsonNode value = node.get(key);
    if (value == null && needed) {
      throw bad(key, "is missing");
    }
    return value;
  }

  private int full(String key, JsonNode value, int min, int max) {
    if (!value.isInt() || value.asInt() < min || value.asInt() > max) {
      throw bad(key, "is no whole number from " + min + " to " + max + ": " + value);
    }
    return value.asInt();
  }
}
