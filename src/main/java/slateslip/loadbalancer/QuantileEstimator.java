package slateslip.loadbalancer;

/** Estimates a quantile of a stream of positive values and tracks the quantile's lowest value. */
final class QuantileEstimator {
  /** Number of values needed before the quantile is meaningful. */
  private static final int MIN_VALUES = 50;

  /** Step by which a value moves the estimate, as a fraction of the estimate. */
  private static final double STEP_FRACTION = 0.02;

  /**
   * Fraction by which each value raises the lowest estimate, so that an old minimum is forgotten
   * after some ten thousand values.
   */
  private static final double LOWEST_RISE = 0.00003;

  private final double quantile;
  private double value;
  private double lowest = Double.MAX_VALUE;

  /**
   * The first values in ascending order; from a single first value, the steps would take long to
   * reach the quantile. Null before the first value and after the last of them, to save memory: an
   * agent has an estimator for each listed server and uses few of the servers.
   */
  private double[] initialValues;

  private int count;

  QuantileEstimator(double quantile) {
    this.quantile = quantile;
  }

  void add(double x) {
    if (count < MIN_VALUES) {
      initialValues = count == 0 ? new double[MIN_VALUES] : initialValues;
      int index = count++;
      for (; index > 0 && initialValues[index - 1] > x; index--) {
        initialValues[index] = initialValues[index - 1];
      }
      initialValues[index] = x;
      value = initialValues[(int) (quantile * count)];
      initialValues = isReliable() ? null : initialValues;
    } else {
      value +=
          x > value ? value * STEP_FRACTION * quantile : value * STEP_FRACTION * (quantile - 1);
    }
    if (isReliable()) {
      lowest = Math.min(lowest * (1 + LOWEST_RISE), value);
    }
  }

  /** Returns whether enough values were added for {@link #lowest} to be meaningful. */
  boolean isReliable() {
    return count >= MIN_VALUES;
  }

  double value() {
    return value;
  }

  double lowest() {
    return lowest;
  }
}
