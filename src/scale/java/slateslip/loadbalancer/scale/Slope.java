package slateslip.loadbalancer.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.DoubleStream;

/**
 * One figure measured at several sizes, several times each: a line through all sizes but the one
 * held out, which it predicts.
 */
public final class Slope {
  private static final double THOUSAND = 1000;

  private final SortedMap<Integer, List<Double>> values = new TreeMap<>();
  private final int validationPoints;

  /**
   * Nothing measured yet.
   *
   * @param validationPoints the size that is not fitted but predicted; 0 for none
   */
  public Slope(int validationPoints) {
    this.validationPoints = validationPoints;
  }

  /** One run's figure; what is not a number counts as not measured. */
  public void add(int size, double value) {
    List<Double> all = values.computeIfAbsent(size, each -> new ArrayList<>());
    if (!Double.isNaN(value)) {
      all.add(value);
    }
  }

  /** The columns of {@link #row}, for the sizes given. */
  public static List<String> header(String first, Set<Integer> sizes, int validationPoints) {
    List<String> header = new ArrayList<>(List.of(first));
    new TreeSet<>(sizes)
        .forEach(size -> header.add(size + (size == validationPoints ? " held out" : "")));
    header.addAll(List.of("at 0", "per 1000", "error", "predicted", "miss %", "last exponent"));
    return header;
  }

  /** The least and most at each size, the line, what it says for the size held out and its miss. */
  public List<String> row(String name, int places) {
    List<String> row = new ArrayList<>(List.of(name));
    values.forEach(
        (size, all) ->
            row.add(
                Report.number(stream(size).min().orElse(Double.NaN), places)
                    + " to "
                    + Report.number(stream(size).max().orElse(Double.NaN), places)));
    LeastSquares line = line();
    double predicted = validationPoints > 0 ? line.predict(validationPoints) : Double.NaN;
    double measured = mean(validationPoints);
    row.addAll(
        List.of(
            Report.number(line.at(), places),
            Report.number(THOUSAND * line.slope(), places + 1),
            Report.number(line.error(), places),
            Report.number(predicted, places),
            Report.number(100 * (predicted - measured) / measured, 0),
            Report.number(exponent(), 2)));
    return row;
  }

  /** The line through all runs of all sizes but the one held out. */
  public LeastSquares line() {
    DoubleStream.Builder sizes = DoubleStream.builder();
    DoubleStream.Builder measured = DoubleStream.builder();
    values.forEach(
        (size, all) ->
            all.stream()
                .filter(value -> size != validationPoints)
                .forEach(
                    value -> {
                      sizes.add(size);
                      measured.add(value);
                    }));
    return LeastSquares.of(sizes.build().toArray(), measured.build().toArray());
  }

  /** The mean of the runs of a size; not a number if there is none. */
  double mean(int size) {
    return stream(size).average().orElse(Double.NaN);
  }

  /**
   * The power of the size with which the figure grows at the large end: 1 for a line, 2 for a
   * square.
   */
  double exponent() {
    List<Integer> sizes =
        values.keySet().stream().filter(size -> size != validationPoints).toList();
    int large = sizes.get(sizes.size() - 1);
    int small = sizes.get(sizes.size() - 2);
    return Math.log(mean(large) / mean(small)) / Math.log((double) large / small);
  }

  private DoubleStream stream(int size) {
    return values.getOrDefault(size, List.of()).stream().mapToDouble(value -> value);
  }
}
