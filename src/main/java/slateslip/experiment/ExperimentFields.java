package slateslip.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Checked access to the fields of a JSON object; a problem names the field by its whole path. */
final class ExperimentFields {
  private final String path;
  private final Map<?, ?> values;

  ExperimentFields(String path, Map<?, ?> values) {
    this.path = path;
    this.values = values;
  }

  /** A field that is missing, of another type or out of range. */
  static final class Problem extends Exception {
    private static final long serialVersionUID = 1L;

    Problem(String field, String reason) {
      super(field + " " + reason);
    }
  }

  boolean has(String name) {
    return values.get(name) != null;
  }

  String text(String name) throws Problem {
    if (values.get(name) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw problem(name, "is not a text");
  }

  String text(String name, String otherwise) throws Problem {
    return has(name) ? text(name) : otherwise;
  }

  double number(String name) throws Problem {
    if (values.get(name) instanceof Number number && number.doubleValue() >= 0) {
      return number.doubleValue();
    }
    throw problem(name, "is not a number of 0 or more");
  }

  double number(String name, double otherwise) throws Problem {
    return has(name) ? number(name) : otherwise;
  }

  int integer(String name) throws Problem {
    double number = number(name);
    if (number != Math.rint(number) || number > Integer.MAX_VALUE) {
      throw problem(name, "is not a whole number");
    }
    return (int) number;
  }

  int integer(String name, int otherwise) throws Problem {
    return has(name) ? integer(name) : otherwise;
  }

  boolean flag(String name, boolean otherwise) throws Problem {
    if (!has(name)) {
      return otherwise;
    }
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw problem(name, "is neither true nor false");
  }

  ExperimentFields object(String name) throws Problem {
    if (values.get(name) instanceof Map<?, ?> map) {
      return new ExperimentFields(inner(name), map);
    }
    throw problem(name, "is not an object");
  }

  /** The objects of a list; an empty one if the field is missing. */
  List<ExperimentFields> objects(String name) throws Problem {
    List<ExperimentFields> result = new ArrayList<>();
    for (Object element : list(name)) {
      String row = inner(name) + "[" + result.size() + "]";
      if (!(element instanceof Map<?, ?> map)) {
        throw new Problem(row, "is not an object");
      }
      result.add(new ExperimentFields(row, map));
    }
    return result;
  }

  /** The whole numbers of a list. */
  List<Long> integers(String name) throws Problem {
    List<Long> result = new ArrayList<>();
    for (Object element : list(name)) {
      if (!(element instanceof Number number)) {
        throw problem(name, "holds something that is not a number");
      }
      result.add(number.longValue());
    }
    return result;
  }

  Problem problem(String name, String reason) {
    return new Problem(inner(name), reason);
  }

  private List<?> list(String name) throws Problem {
    if (!has(name)) {
      return List.of();
    }
    if (values.get(name) instanceof List<?> list) {
      return list;
    }
    throw problem(name, "is not a list");
  }

  private String inner(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }
}
