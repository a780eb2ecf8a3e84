package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Phase;

/**
 * Checks that the README's section for operators on call shows exactly the log lines that the load
 * balancer prints.
 */
class LogLinesTest {
  private static final long SECOND = FakeHost.SECOND;

  /**
   * Causes every change of a server's state once and returns the logged lines without their
   * numbers.
   */
  private static Set<String> printedLines() {
    FakeHost host =
        new FakeHost(FakeHost.safeSettings())
            .fullList(FakeHost.server(1, 0), FakeHost.server(2, 0));
    for (int i = 0; i < 2; i++) {
      host.balancer.probed(host.now, 1, Outcome.TIMEOUT, SECOND, new double[0]);
    }
    host.advance(SECOND);
    host.balancer.probed(host.now, 1, Outcome.OK, 1000, new double[0]);
    host.advance(10 * SECOND);
    for (int i = 0; i < 40; i++) {
      long id = host.request();
      host.advance(20_000);
      if (!host.sends(id).isEmpty()) {
        host.complete(id, 0, host.target(id) == 1 ? Outcome.ERROR : Outcome.OK, 20_000);
        if (host.sends(id).size() > 1) {
          host.complete(id, 1, Outcome.OK, 20_000);
        }
      }
      host.advance(SECOND / 4);
    }
    host.list(ListKind.DELTA, FakeHost.server(2, 0, Phase.DRAINING, 0));
    host.list(ListKind.DELTA, FakeHost.server(2, 0, Phase.READY, 0));
    host.list(ListKind.DELTA, FakeHost.server(2, 0, Phase.GONE, 0));
    host.list(ListKind.DELTA, FakeHost.server(3, 0, Phase.READY, host.now));
    Set<String> lines = new TreeSet<>();
    for (String line : host.logLines) {
      if (line.startsWith("waiting: ")) {
        continue; // counts of queued requests; no change of a server's state
      }
      assertTrue(line.matches("server \\d+ .*"), line);
      lines.add(line.replaceFirst("server \\d+ ", "").replaceFirst("\\d+ of \\d+", "F of N"));
    }
    return lines;
  }

  @Test
  void readmeShowsExactlyThePrintedLines() throws IOException {
    String readme = Files.readString(Path.of("README.md"));
    Set<String> documentedLines = new TreeSet<>();
    Matcher code =
        Pattern.compile("`((?:active|passive|cold|draining|ready|gone)[^`]*)`").matcher(readme);
    while (code.find()) {
      documentedLines.add(code.group(1));
    }
    assertEquals(printedLines(), documentedLines);
  }
}
