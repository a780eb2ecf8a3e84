package slateslip.configuration;

/**
 * Parser for the items of one list of the configuration document, such as routes or tenants.
 *
 * @param <T> type of a parsed item
 */
interface ItemFormat<T> {
  /** Reads the fields of the open object and closes the object. Reports errors to the reader. */
  T read(FieldReader fields);

  /** Returns the name of an item, or null if it has none. */
  String name(T value);
}
