package slateslip.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A list of items with unique names, each kept as it was sent beside what was read from it.
 *
 * @param <T> what an item is read into
 */
final class NamedItems<T> {
  /** An item: its JSON as sent, and what was read from it. */
  private record Item<T>(String json, T value) {}

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

  /**
   * This list with the items of a JSON array added, or put in the place of those of the same name.
   *
   * @param source stands before the array; what is wrong is reported to it
   */
  NamedItems<T> with(FieldReader source) {
    Map<String, Item<T>> changed = new LinkedHashMap<>(items);
    Set<String> seen = new HashSet<>();
    if (source.beginArray()) {
      while (source.nextElement()) {
        add(changed, seen, source);
      }
    }
    return new NamedItems<>(field, format, changed);
  }

  private void add(Map<String, Item<T>> changed, Set<String> seen, FieldReader source) {
    String json = source.raw();
    if (!json.startsWith("{")) {
      source.report(field, "has an item that is not an object");
      return;
    }
    try (FieldReader fields = new FieldReader(json)) {
      fields.beginObject();
      T value = format.read(fields);
      String name = format.name(value);
      if (name == null || name.isEmpty()) {
        source.report(field, "has an item without a name");
        return;
      }
      if (fields.problem() != null) {
        source.report(field + " \"" + name + "\":", fields.problem());
      }
      if (!seen.add(name)) {
        source.report(field, "has two items of the name \"" + name + "\"");
      }
      changed.put(name, new Item<>(json, value));
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

  /** What was read, in order. */
  List<T> values() {
    List<T> values = new ArrayList<>(items.size());
    items.values().forEach(item -> values.add(item.value()));
    return values;
  }

  /** The list as a JSON array, each item as it was sent. */
  String json() {
    StringBuilder json = new StringBuilder("[");
    for (Item<T> item : items.values()) {
      json.append(json.length() == 1 ? "" : ",").append(item.json());
    }
    return json.append(']').toString();
  }
}
