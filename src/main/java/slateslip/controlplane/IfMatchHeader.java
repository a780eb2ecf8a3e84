package slateslip.controlplane;

/** Parses the {@code If-Match} header, which contains the version that a change is based on. */
final class IfMatchHeader {
  private IfMatchHeader() {}

  /**
   * Returns the version of a header with or without quotes; null if the header is missing or is not
   * a non-negative whole number.
   */
  static Long version(String header) {
    if (header == null) {
      return null;
    }
    String text = header.strip();
    if (text.length() > 1 && text.startsWith("\"") && text.endsWith("\"")) {
      text = text.substring(1, text.length() - 1);
    }
    try {
      long version = Long.parseLong(text);
      return version < 0 ? null : version;
    } catch (NumberFormatException notANumber) {
      return null;
    }
  }
}
