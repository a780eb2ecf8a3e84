package slateslip.standin;

import java.util.List;

/**
 * The same figure of several turns.
 *
 * @param median the middle one; the mean of both middle ones of an even number
 * @param min the lowest
 * @param max the highest
 */
record Spread(double median, double min, double max) {
  /** Of figures in any order; there is at least one. */
  static Spread of(List<Double> figures) {
    List<Double> sorted = figures.stream().sorted().toList();
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
