package slateslip.scale;

import java.util.List;

/** The 50th and 99th of a hundred and the last, in milliseconds; not numbers if there are none. */
record Quantiles(double median, double p99, double last) {
  static Quantiles of(List<Double> times) {
    List<Double> sorted = times.stream().sorted().toList();
    return new Quantiles(at(sorted, 0.5), at(sorted, 0.99), at(sorted, 1));
  }

  /** The least value that this share of all do not exceed. */
  private static double at(List<Double> sorted, double share) {
    if (sorted.isEmpty()) {
      return Double.NaN;
    }
    return sorted.get((int) Math.ceil(share * sorted.size()) - 1);
  }

  String text() {
    return String.format("%.0f / %.0f / %.0f ms", median, p99, last);
  }
}
