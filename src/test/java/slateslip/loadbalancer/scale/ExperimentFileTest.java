package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class ExperimentFileTest {
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{'is':'latency','agentz':3,'classes':[{'name':'a','semantics':'safe'}]} | f: agentz is unknown",
        "{'is':'latency','agents':0,'classes':[{'name':'a','semantics':'safe'}]} | f: agents is no whole",
        "{'is':'latency','agents':1.5} | f: agents is no whole number from 1 to 100: 1.5",
        "{'is':'latency','classes':[{'semantics':'safe'}]} | f: classes[0] name is missing",
        "{'is':'latency','classes':[{'name':'a','semantics':'sane'}]} | f: classes[0] semantics is none",
        "{'is':'latency','classes':[{'name':'a','semantics':'safe','x':1}]} | f: classes[0] x is unknown",
        "{'is':'slopes','sizes':[5]} | f: sizes holds no two different sizes: [5]",
        "{'is':'slopes','sizes':[5,6],'cases':[{'group':'2'}]} | f: cases[0] group is none of [1, N]: 2",
        "{'is':'dance'} | f: experiment is none of",
        "{} | f: experiment is missing",
        "[] | f: no JSON object",
        "{'experiment' | f: not JSON"
      })
  void invalidFileIsRejectedWithOneLineThatNamesTheKey(String text, String expected) {
    var bad =
        assertThrows(
            BadExperiment.class,
            () ->
                RunCommand.read(
                    Keys.of("f", text.replace("'is'", "'experiment'").replace('\'', '"')), "run"));
    assertTrue(bad.getMessage().startsWith(expected), bad::getMessage);
    assertEquals(1, bad.getMessage().lines().count());
  }

  @Test
  void examplesAreValidAndRejectedByOtherCommands() throws Exception {
    try (var files = Files.list(Path.of("src/scale/experiments"))) {
      List<Path> examples = files.filter(each -> !each.endsWith("agent.json")).toList();
      assertTrue(examples.size() >= 3);
      for (Path each : examples) {
        RunCommand.read(Keys.read(each), "run");
      }
    }
    var other = Path.of("src/scale/experiments/latency.json");
    assertThrows(BadExperiment.class, () -> RunCommand.read(Keys.read(other), "slopes"));
    assertEquals(2, new CommandLine(new Main()).execute("slopes", other.toString()));
  }

  @Test
  void leastSquaresFitsLine() {
    LeastSquares exact = LeastSquares.of(new double[] {1, 10, 100}, new double[] {5, 23, 203});
    assertEquals(3, exact.at(), 1e-9);
    assertEquals(2, exact.slope(), 1e-9);
    assertEquals(0, exact.error(), 1e-9);
    LeastSquares off = LeastSquares.of(new double[] {0, 0, 2, 2}, new double[] {0, 2, 2, 4});
    assertEquals(new LeastSquares(1, 1, 1), off);
    assertEquals(11, off.predict(10));
  }
}
