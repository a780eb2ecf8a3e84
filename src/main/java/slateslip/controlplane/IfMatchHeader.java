package slateslip.controlplane;

/** The {@code If-Match} header: the version that a change builds on. */
final class IfMatchHeader {
  private IfMatchHeader() {}

  /** The version, with or without quotes; null if the header is missing or no whole number. */
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
