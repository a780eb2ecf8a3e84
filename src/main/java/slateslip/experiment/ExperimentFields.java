package slateslip.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the fields of a JSON object and checks their types. Exceptions name the field by its full
 * path.
 */
final class ExperimentFields {
  private final String path;
  private final Map<?, ?> values;

  ExperimentFields(String path, Map<?, ?> values) {
    this.path = path;
    this.values = values;
  }

  /** Signals that a field is missing, has the wrong type or is out of range. */
  static final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidFieldException(String field, String reason) {
      super(field + " " + reason);
    }
  }

  boolean has(String name) {
    return values.get(name) != null;
  }

  String text(String name) throws InvalidFieldException {
    if (values.get(name) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw invalidField(name, "is not a non-empty string");
  }

  String text(String name, String defaultValue) throws InvalidFieldException {
    return has(name) ? text(name) : defaultValue;
  }

  double number(String name) throws InvalidFieldException {
    if (values.get(name) instanceof Number number && number.doubleValue() >= 0) {
      return number.doubleValue();
    }
    throw invalidField(name, "is not a number of 0 or more");
  }

  double number(String name, double defaultValue) throws InvalidFieldException {
    return has(name) ? number(name) : defaultValue;
  }

  int integer(String name) throws InvalidFieldException {
    double number = number(name);
    if (number != Math.rint(number) || number > Integer.MAX_VALUE) {
      throw invalidField(name, "is not a whole number");
    }
    return (int) number;
  }

  int integer(String name, int defaultValue) throws InvalidFieldException {
    return has(name) ? integer(name) : defaultValue;
  }

  boolean flag(String name, boolean defaultValue) throws InvalidFieldException {
    if (!has(name)) {
      return defaultValue;
    }
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw invalidField(name, "is neither true nor false");
  }

  ExperimentFields object(String name) throws InvalidFieldException {
    if (values.get(name) instanceof Map<?, ?> map) {
      return new ExperimentFields(qualifiedName(name), map);
    }
    throw invalidField(name, "is not an object");
  }

  /**
   * Returns the objects of a list field, or an empty list if the field is missing. Throws if an
   * element is not an object.
   */
  List<ExperimentFields> objects(String name) throws InvalidFieldException {
    List<ExperimentFields> result = new ArrayList<>();
    for (Object element : list(name)) {
      String elementPath = qualifiedName(name) + "[" + result.size() + "]";
      if (!(element instanceof Map<?, ?> map)) {
        throw new InvalidFieldException(elementPath, "is not an object");
      }
      result.add(new ExperimentFields(elementPath, map));
    }
    return result;
  }

  /**
   * Returns the numbers of a list field without their fractions, or an empty list if the field is
   * missing.
   */
  List<Long> integers(String name) throws InvalidFieldException {
    List<Long> result = new ArrayList<>();
    for (Object element : list(name)) {
      if (!(element instanceof Number number)) {
        throw invalidField(name, "contains an element that is not a number");
      }
      result.add(number.longValue());
    }
    return result;
  }

  InvalidFieldException invalidField(String name, String reason) {
    return new InvalidFieldException(qualifiedName(name), reason);
  }

  private List<?> list(String name) throws InvalidFieldException {
    if (!has(name)) {
      return List.of();
    }
    if (values.get(name) instanceof List<?> list) {
      return list;
    }
    throw invalidField(name, "is not a list");
  }

  private String qualifiedName(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }
}
