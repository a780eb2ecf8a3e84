package slateslip.loadbalancer.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Draws measured points against the number of servers listed, both on a scale of powers of ten. */
final class Plot {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 600;

  private final XYChart chart;

  /** Nothing drawn yet. */
  Plot(String title) {
    System.setProperty("java.awt.headless", "true");
    chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("servers listed")
            .yAxisTitle(title)
            .build();
    chart.getStyler().setXAxisLogarithmic(true);
    chart.getStyler().setYAxisLogarithmic(true);
  }

  /**
   * One line of points; what is not above 0 has no place on the scale and is left out by the
   * caller.
   */
  void add(String name, double[] sizes, double[] values) {
    chart.addSeries(name, sizes, values);
  }

  /** Writes a PNG file. */
  void write(Path file) throws IOException {
    Files.createDirectories(file.toAbsolutePath().getParent());
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
