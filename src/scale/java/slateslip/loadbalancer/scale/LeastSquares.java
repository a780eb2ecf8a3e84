package slateslip.loadbalancer.scale;

/**
 * A straight line through measured points: state = at + slope x size.
 *
 * @param at the value at size 0
 * @param slope the growth for each unit of size
 * @param error root of the mean square of what the points lie off the line
 */
public record LeastSquares(double at, double slope, double error) {
  /**
   * The line with the least squares; at least two different sizes are needed, else it is not a
   * number.
   */
  public static LeastSquares of(double[] sizes, double[] values) {
    int n = sizes.length;
    double meanSize = 0;
    double meanValue = 0;
    for (int i = 0; i < n; i++) {
      meanSize += sizes[i] / n;
      meanValue += values[i] / n;
    }
    double both = 0;
    double square = 0;
    for (int i = 0; i < n; i++) {
      both += (sizes[i] - meanSize) * (values[i] - meanValue);
      square += (sizes[i] - meanSize) * (sizes[i] - meanSize);
    }
    double slope = both / square;
    double at = meanValue - slope * meanSize;
    double off = 0;
    for (int i = 0; i < n; i++) {
      double miss = values[i] - at - slope * sizes[i];
      off += miss * miss / n;
    }
    return new LeastSquares(at, slope, Math.sqrt(off));
  }

  /** What the line says for a size. */
  public double predict(double size) {
    return at + slope * size;
  }
}
