package slateslip.logging;

/**
 * Escapes label values for the Prometheus text format, which is UTF-8 and defines three escapes:
 * for backslash, quotation mark and newline.
 */
public final class MetricLabel {
  private MetricLabel() {}

  /** Returns a label value in the form that is written between quotation marks. */
  public static String escaped(String value) {
    return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
  }
}
