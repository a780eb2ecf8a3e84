package slateslip.configuration;

import java.math.BigDecimal;

/** Reads the number of a version. */
final class VersionNumber {
  private VersionNumber() {}

  /** The whole number that a value is; 0, and a problem, if it is none. */
  static long read(JsonSlice value, ValidationErrors problems) {
    try {
      return new BigDecimal(value.toString()).longValueExact();
    } catch (NumberFormatException | ArithmeticException notAnInteger) {
      problems.report(DocumentParts.VERSION, "is not a whole number");
      return 0;
    }
  }
}
