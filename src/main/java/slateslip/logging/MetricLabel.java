package slateslip.logging;

/** Values of labels in Prometheus' text format, which knows three escapes and is UTF-8. */
public final class MetricLabel {
  private MetricLabel() {}

  /** A value as it stands between quotation marks. */
  public static String escaped(String value) {
    return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
  }
}
