package slateslip.configuration;

/**
 * Reads one item of a named list.
 *
 * @param <T> what the item is read into
 */
interface ItemFormat<T> {
  /** Reads the fields of the open object to its end; what is wrong is reported to the reader. */
  T read(FieldReader fields);

  /** Name of the item; null if it has none. */
  String name(T value);
}
