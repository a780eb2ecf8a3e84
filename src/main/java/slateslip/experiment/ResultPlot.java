package slateslip.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import slateslip.experiment.ExperimentRun.VariantResult;
import slateslip.simulation.dataplane.Measurements.Group;

/**
 * Draws results as one SVG image. Each request class has a row of four panels: percentiles of the
 * first-token latency, percentiles of the longest gap between events, the cached fraction of
 * prompts and the fraction of refused requests.
 */
final class ResultPlot {
  private static final int PANEL_WIDTH = 300;
  private static final int PANEL_HEIGHT = 200;
  private static final int MARGIN = 50;
  private static final double[] PERCENTILES = {1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5};
  private static final String[] COLOURS = {
    "#1b6ca8", "#c8553d", "#3c8d5a", "#8e5ea2", "#b8860b", "#444444", "#d81b60", "#009688"
  };

  private final StringBuilder svg = new StringBuilder();
  private final List<VariantResult> results;

  private ResultPlot(List<VariantResult> results) {
    this.results = results;
  }

  /** Returns the complete SVG document. */
  static String svg(String title, List<VariantResult> results) {
    return new ResultPlot(results).draw(title);
  }

  private String draw(String title) {
    TreeSet<String> classes = new TreeSet<>();
    results.forEach(result -> classes.addAll(result.measurements().byClass().keySet()));
    int width = 4 * (PANEL_WIDTH + MARGIN) + MARGIN;
    int height = classes.size() * (PANEL_HEIGHT + 2 * MARGIN) + MARGIN + 20 * results.size();
    svg.append(
        String.format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"11\">%n",
            width, height));
    drawText(MARGIN, 20, title);
    int row = 0;
    for (String name : classes) {
      int top = MARGIN + row * (PANEL_HEIGHT + 2 * MARGIN);
      drawCurves(0, top, name + ": time to first event, ms", name, Group::firstMicros);
      drawCurves(1, top, name + ": longest pause, ms", name, Group::gapMicros);
      drawBars(2, top, name + ": kept part of prompts", name, Group::cachedFraction);
      drawBars(3, top, name + ": refused", name, g -> (double) g.refused() / g.total());
      row++;
    }
    drawLegend(MARGIN + row * (PANEL_HEIGHT + 2 * MARGIN));
    return svg.append("</svg>\n").toString();
  }

  private void drawCurves(
      int column,
      int top,
      String title,
      String name,
      java.util.function.Function<Group, Histogram> histogram) {
    int left = drawFrame(column, top, title);
    double max = 1;
    for (Group group : groups(name)) {
      max = Math.max(max, histogram.apply(group).getValueAtPercentile(99.5) / 1e3);
    }
    drawText(left - 45, top + 10, String.format(Locale.ROOT, "%.0f", max));
    for (double percentile : new double[] {50, 90, 99}) {
      drawText(
          left + (int) percentileOffset(percentile),
          top + PANEL_HEIGHT + 14,
          "p" + (int) percentile);
    }
    int index = 0;
    for (Group group : groups(name)) {
      StringBuilder points = new StringBuilder();
      for (double percentile : PERCENTILES) {
        double millis = histogram.apply(group).getValueAtPercentile(percentile) / 1e3;
        double y = top + PANEL_HEIGHT * (1 - millis / max);
        points.append(
            String.format(Locale.ROOT, "%.1f,%.1f ", left + percentileOffset(percentile), y));
      }
      svg.append(
          String.format(
              "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"%s\"/>%n",
              colour(index++), points));
    }
  }

  private void drawBars(
      int column, int top, String title, String name, ToDoubleFunction<Group> value) {
    int left = drawFrame(column, top, title);
    int index = 0;
    int step = PANEL_WIDTH / Math.max(1, results.size());
    for (Group group : groups(name)) {
      double share = value.applyAsDouble(group);
      double height = Double.isNaN(share) ? 0 : share * PANEL_HEIGHT;
      svg.append(
          String.format(
              Locale.ROOT,
              "<rect x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" fill=\"%s\"/>%n",
              left + index * step + 2,
              top + PANEL_HEIGHT - height,
              Math.max(1, step - 4),
              height,
              colour(index)));
      if (!Double.isNaN(share)) {
        drawText(
            left + index * step + 2,
            top + PANEL_HEIGHT + 14,
            String.format(Locale.ROOT, "%.3f", share));
      }
      index++;
    }
  }

  private int drawFrame(int column, int top, String title) {
    int left = MARGIN + column * (PANEL_WIDTH + MARGIN);
    svg.append(
        String.format(
            "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"none\" stroke=\"#999\"/>%n",
            left, top, PANEL_WIDTH, PANEL_HEIGHT));
    drawText(left, top - 6, title);
    return left;
  }

  private void drawLegend(int top) {
    for (int i = 0; i < results.size(); i++) {
      svg.append(
          String.format(
              "<rect x=\"%d\" y=\"%d\" width=\"12\" height=\"12\" fill=\"%s\"/>%n",
              MARGIN, top + 20 * i - 10, colour(i)));
      drawText(MARGIN + 18, top + 20 * i, results.get(i).variant());
    }
  }

  private List<Group> groups(String name) {
    List<Group> groups = new ArrayList<>();
    for (VariantResult result : results) {
      groups.add(result.measurements().byClass().get(name));
    }
    return groups;
  }

  /**
   * Returns the horizontal offset of a percentile in pixels. The axis is logarithmic in the
   * fraction of values above the percentile, so that high percentiles remain distinguishable.
   */
  private static double percentileOffset(double percentile) {
    double nines = -Math.log10(1 - percentile / 100);
    return PANEL_WIDTH * nines / -Math.log10(1 - 0.995);
  }

  private static String colour(int index) {
    return COLOURS[index % COLOURS.length];
  }

  private void drawText(int x, int y, String text) {
    String escaped = text.replace("&", "&amp;").replace("<", "&lt;");
    svg.append(String.format("<text x=\"%d\" y=\"%d\">%s</text>%n", x, y, escaped));
  }
}
