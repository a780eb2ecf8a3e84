package slateslip.standin;

import java.util.List;

/**
 * Median and range of one measured value over several rounds.
 *
 * @param median middle value, or the mean of the two middle values if the number of values is even
 * @param min lowest value
 * @param max highest value
 */
record Spread(double median, double min, double max) {
  /**
   * Returns the median and range of the values, which may be in any order. The list must not be
   * empty.
   */
  static Spread of(List<Double> values) {
    List<Double> sorted = values.stream().sorted().toList();
    int middle = sorted.size() / 2;
    double median =
        sorted.size() % 2 == 1
            ? sorted.get(middle)
            : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
    return new Spread(median, sorted.get(0), sorted.get(sorted.size() - 1));
  }

  @Override
  public String toString() {
    return "%.2f (%.2f to %.2f)".formatted(median, min, max);
  }
}
