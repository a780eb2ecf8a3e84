package slateslip.configuration;

import java.math.BigDecimal;

/** Parses configuration versions. */
final class VersionNumber {
  private VersionNumber() {}

  /**
   * Parses a value as an integer. Reports an error and returns 0 if the value is not an integer.
   */
  static long read(JsonSlice value, ValidationErrors problems) {
    try {
      return new BigDecimal(value.toString()).longValueExact();
    } catch (NumberFormatException | ArithmeticException notAnInteger) {
      problems.report(DocumentParts.VERSION, "is not a whole number");
      return 0;
    }
  }
}
