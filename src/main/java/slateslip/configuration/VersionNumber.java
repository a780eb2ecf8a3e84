package slateslip.configuration;

import java.math.BigDecimal;

/** Reads the number of a version. */
final class VersionNumber {
  private VersionNumber() {}

  /** The whole number that stands next at the reader; 0, and a problem, if it is none. */
  static long read(FieldReader source) {
    String json = source.raw();
    try {
      return new BigDecimal(json).longValueExact();
    } catch (NumberFormatException | ArithmeticException notWhole) {
      source.report(DocumentParts.VERSION, "is not a whole number");
      return 0;
    }
  }
}
