package slateslip.experiment;

import java.util.List;
import java.util.Locale;
import slateslip.experiment.ExperimentRun.VariantResult;

/**
 * Difference between the value fractions of a variant and of the first variant, paired by seed.
 *
 * @param mean mean of the differences over all seeds
 * @param halfWidth half the width of the 95 % confidence interval of the mean, or NaN if there is
 *     only one seed
 */
record PairedDifference(double mean, double halfWidth) {
  /**
   * Quantiles of Student's t distribution for a two-sided 95 % confidence interval. The first
   * element is for 1 degree of freedom.
   */
  private static final double[] STUDENT_T = {
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086
  };

  private static final double NORMAL = 1.96;

  /**
   * Returns the difference between two lists of value fractions that contain the same seeds in the
   * same order.
   */
  static PairedDifference of(List<Double> values, List<Double> reference) {
    int count = values.size();
    double sum = 0;
    for (int i = 0; i < count; i++) {
      sum += values.get(i) - reference.get(i);
    }
    double mean = sum / count;
    if (count < 2) {
      return new PairedDifference(mean, Double.NaN);
    }
    double squares = 0;
    for (int i = 0; i < count; i++) {
      double deviation = values.get(i) - reference.get(i) - mean;
      squares += deviation * deviation;
    }
    double error = Math.sqrt(squares / (count - 1) / count);
    double quantile = count - 2 < STUDENT_T.length ? STUDENT_T[count - 2] : NORMAL;
    return new PairedDifference(mean, quantile * error);
  }

  /**
   * Formats a Markdown table with one line per variant, which shows the difference from the first
   * variant.
   */
  static String format(List<VariantResult> results) {
    StringBuilder table = new StringBuilder("\n| variant | worth | difference | 95 in 100 |\n");
    table.append("|---|---|---|---|\n");
    List<Double> reference = results.get(0).valueFractionsBySeed();
    for (VariantResult result : results) {
      PairedDifference difference = of(result.valueFractionsBySeed(), reference);
      table.append(
          String.format(
              Locale.ROOT,
              "| %s | %.4f | %+.4f | %.4f |%n",
              result.variant(),
              result.measurements().whole().valueFraction(),
              difference.mean(),
              difference.halfWidth()));
    }
    return table.toString();
  }
}
