package slateslip.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the outcomes of requests are summed over the metrics of several data planes. */
class LossReportTest {
  private static final String METRIC = "slateslip_dataplane_requests_ended_";

  @TempDir private Path folder;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final LossReport report =
      new LossReport(new PrintStream(output), new PrintStream(errors));

  private String metrics(String name, String... lines) throws IOException {
    Path file = folder.resolve(name);
    Files.write(file, List.of(lines));
    return file.toString();
  }

  @Test
  void outcomesAreSummedAndSortedByCount() throws IOException {
    String first =
        metrics(
            "a",
            "# TYPE " + METRIC + "served_total counter",
            METRIC + "served_total 90",
            METRIC + "late_total 1",
            METRIC + "refused_total 4");
    String second =
        metrics(
            "b", METRIC + "served_total 100", METRIC + "late_total 5", METRIC + "failed_total 0");
    assertThat(report.print(List.of(first, second)), is(ExitStatus.SUCCESS));
    String[] lines = output.toString(StandardCharsets.UTF_8).split("\\R", -1);
    assertThat(lines[0], is("requests ended: 200, at 2 data planes"));
    assertThat(lines[1], is("served            190  95.00 %"));
    assertThat(lines[2], is("late                6   3.00 %"));
    assertThat(lines[3], is("refused             4   2.00 %"));
    assertThat(lines[4], is(""));
  }

  @Test
  void unreadableSourceIsNamedAndFailsTheCommand() throws IOException {
    String readable = metrics("a", METRIC + "served_total 1");
    String missing = folder.resolve("none").toString();
    assertThat(report.print(List.of(readable, missing)), is(ExitStatus.FAILURE));
    assertThat(errors.toString(StandardCharsets.UTF_8), containsString(missing));
    assertThat(output.toString(StandardCharsets.UTF_8), containsString("at 1 data planes"));
  }
}
