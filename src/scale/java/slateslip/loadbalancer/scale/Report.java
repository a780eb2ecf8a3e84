package slateslip.loadbalancer.scale;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a run says: a JSON line an interval, and tables at the end. */
public final class Report {
  private final PrintStream out;
  private final long beganAt = System.nanoTime();

  /** Writes there. */
  public Report(PrintStream out) {
    this.out = out;
  }

  /** One line; the time since the begin and the machine's load average stand first. */
  public synchronized void line(String what, Map<String, ?> values) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("what", what);
    line.put("at_s", Math.round((System.nanoTime() - beganAt) / 1e8) / 10.0);
    line.put("load", ProcessFigures.loadAverage());
    line.putAll(values);
    out.println(Json.line(line));
    out.flush();
  }

  /** A table, each column as wide as it needs. */
  public synchronized void table(String title, List<String> header, List<List<String>> rows) {
    List<List<String>> all = new ArrayList<>();
    all.add(header);
    all.addAll(rows);
    int[] widths = new int[header.size()];
    all.forEach(
        row -> {
          for (int i = 0; i < row.size(); i++) {
            widths[i] = Math.max(widths[i], row.get(i).length());
          }
        });
    out.println();
    out.println(title);
    for (List<String> row : all) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.size(); i++) {
        line.append(i == 0 ? "" : "  ")
            .append(" ".repeat(widths[i] - row.get(i).length()))
            .append(row.get(i));
      }
      out.println(line);
    }
    out.flush();
  }

  /** A number with so many places; a dash for none. */
  static String number(double value, int places) {
    return Double.isNaN(value) ? "-" : String.format(Locale.ROOT, "%." + places + "f", value);
  }

  /** The same rounded for a JSON line; null for none. */
  static Double rounded(double value, int places) {
    double scale = Math.pow(10, places);
    return Double.isNaN(value) || Double.isInfinite(value)
        ? null
        : Math.round(value * scale) / scale;
  }
}
