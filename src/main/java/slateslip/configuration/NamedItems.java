package slateslip.configuration;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A list of items with unique names, each kept as it was sent beside what was read from it; an item
 * with a problem is kept as it was sent alone.
 *
 * @param <T> what an item is read into
 */
final class NamedItems<T> {
  /** An item: its JSON as sent, and what was read from it; null if that has a problem. */
  private record Item<T>(byte[] json, T value) {}

  private final String field;
  private final ItemFormat<T> format;
  private final Map<String, Item<T>> items;

  private NamedItems(String field, ItemFormat<T> format, Map<String, Item<T>> items) {
    this.field = field;
    this.format = format;
    this.items = items;
  }

  /** An empty list. */
  static <T> NamedItems<T> none(String field, ItemFormat<T> format) {
    return new NamedItems<>(field, format, new LinkedHashMap<>());
  }

  /** This list with the items of a JSON list added, or put in the place of those of their name. */
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
    ValidationErrors ofItem = new ValidationErrors();
    T value = read(json, ofItem);
    String name = format.name(value);
    if (name == null || name.isEmpty()) {
      problems.report(field, "has an item without a name");
      return;
    }
    problems.reportAll(field + " \"" + name + "\":", ofItem);
    if (!seen.add(name)) {
      problems.report(field, "has two items of the name \"" + name + "\"");
    }
    changed.put(name, new Item<>(json, ofItem.first() == null ? value : null));
  }

  private T read(byte[] json, ValidationErrors problems) {
    try (FieldReader fields = new FieldReader(json, problems)) {
      fields.beginObject();
      return format.read(fields);
    }
  }

  /** This list without the items of these names; names that it does not hold are passed over. */
  NamedItems<T> without(List<String> names) {
    if (names.isEmpty()) {
      return this;
    }
    Map<String, Item<T>> changed = new LinkedHashMap<>(items);
    names.forEach(changed::remove);
    return new NamedItems<>(field, format, changed);
  }

  /** What was read, in order, of items without a problem. */
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

  /** The list as JSON, each item as it was sent. */
  byte[] toJson() {
    ByteArrayOutputStream json = new ByteArrayOutputStream();
    write(json);
    return json.toByteArray();
  }
}
