package slateslip.configuration;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A list of items with unique names. Holds for each item its JSON as it was sent and the parsed
 * value; an item with an error has no parsed value. Immutable.
 *
 * @param <T> type of a parsed item
 */
final class NamedItems<T> {
  /**
   * JSON of an item as it was sent, and the parsed value, which is null if the item has an error.
   */
  private record Item<T>(byte[] json, T value) {}

  private final String field;
  private final ItemFormat<T> format;
  private final Map<String, Item<T>> items;

  private NamedItems(String field, ItemFormat<T> format, Map<String, Item<T>> items) {
    this.field = field;
    this.format = format;
    this.items = items;
  }

  /** Returns an empty list. */
  static <T> NamedItems<T> empty(String field, ItemFormat<T> format) {
    return new NamedItems<>(field, format, new LinkedHashMap<>());
  }

  /**
   * Returns this list with the items of a JSON list added. An added item replaces an existing item
   * of the same name. Reports errors to {@code problems}.
   */
  NamedItems<T> with(JsonSlice list, ValidationErrors problems) {
    if (!list.isList()) {
      problems.report(field, "is not a list");
      return this;
    }
    Map<String, Item<T>> changed = new LinkedHashMap<>(items);
    Set<String> seen = new HashSet<>();
    list.forEachElement(element -> add(changed, seen, element, problems));
    return new NamedItems<>(field, format, changed);
  }

  private void add(
      Map<String, Item<T>> changed,
      Set<String> seen,
      JsonSlice element,
      ValidationErrors problems) {
    if (!element.isObject()) {
      problems.report(field, "has an item that is not an object");
      return;
    }
    byte[] json = element.toBytes();
    ValidationErrors itemProblems = new ValidationErrors();
    T value = read(json, itemProblems);
    String name = format.name(value);
    if (name == null || name.isEmpty()) {
      problems.report(field, "has an item without a name");
      return;
    }
    problems.reportAll(field + " \"" + name + "\":", itemProblems);
    if (!seen.add(name)) {
      problems.report(field, "has two items of the name \"" + name + "\"");
    }
    changed.put(name, new Item<>(json, itemProblems.first() == null ? value : null));
  }

  private T read(byte[] json, ValidationErrors problems) {
    try (FieldReader fields = new FieldReader(json, problems)) {
      fields.beginObject();
      return format.read(fields);
    }
  }

  /**
   * Returns this list without the items of the given names. Names that do not occur are ignored.
   */
  NamedItems<T> without(List<String> names) {
    if (names.isEmpty()) {
      return this;
    }
    Map<String, Item<T>> changed = new LinkedHashMap<>(items);
    names.forEach(changed::remove);
    return new NamedItems<>(field, format, changed);
  }

  /** Returns the names of the items, in order. */
  List<String> names() {
    return List.copyOf(items.keySet());
  }

  /** Returns the JSON of each item that another list does not have in the same form, in order. */
  List<byte[]> changedSince(NamedItems<?> previous) {
    List<byte[]> changed = new ArrayList<>();
    items.forEach(
        (name, item) -> {
          Item<?> before = previous.items.get(name);
          if (before == null || !Arrays.equals(before.json(), item.json())) {
            changed.add(item.json());
          }
        });
    return changed;
  }

  /** Returns the parsed values of the items without errors, in order. */
  List<T> values() {
    List<T> values = new ArrayList<>(items.size());
    for (Item<T> item : items.values()) {
      if (item.value() != null) {
        values.add(item.value());
      }
    }
    return values;
  }

  /** Writes the list as JSON, each item as it was sent. */
  void write(ByteArrayOutputStream json) {
    char separator = '[';
    for (Item<T> item : items.values()) {
      json.write(separator);
      json.writeBytes(item.json());
      separator = ',';
    }
    if (items.isEmpty()) {
      json.write('[');
    }
    json.write(']');
  }

  /** Returns the list as JSON, each item as it was sent. */
  byte[] toJson() {
    ByteArrayOutputStream json = new ByteArrayOutputStream();
    write(json);
    return json.toByteArray();
  }
}
