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
 * The README's part for those on call shows the lines that the module really prints, all of them
 * and no others.
 */
class LogLinesTest {
  private static final long SECOND = FakeHost.SECOND;

  /** Every change of state there is, brought about once. */
  private static Set<String> printed() {
    FakeHost host =
        new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0), FakeHost.server(2, 0));
    for (int i = 0; i < 2; i++) {
      host.balancer.probed(host.now, 1, Outcome.TIMEOUT, SECOND, new double[0]);
    }
    host.pass(SECOND);
    host.balancer.probed(host.now, 1, Outcome.OK, 1000, new double[0]);
    host.pass(10 * SECOND);
    for (int i = 0; i < 40; i++) {
      long id = host.request();
      host.pass(20_000);
      if (!host.sends(id).isEmpty()) {
        host.end(id, 0, host.target(id) == 1 ? Outcome.ERROR : Outcome.OK, 20_000);
        if (host.sends(id).size() > 1) {
          host.end(id, 1, Outcome.OK, 20_000);
        }
      }
      host.pass(SECOND / 4);
    }
    host.list(ListKind.DELTA, FakeHost.server(2, 0, Phase.DRAINING, 0));
    host.list(ListKind.DELTA, FakeHost.server(2, 0, Phase.READY, 0));
    host.list(ListKind.DELTA, FakeHost.server(2, 0, Phase.GONE, 0));
    host.list(ListKind.DELTA, FakeHost.server(3, 0, Phase.READY, host.now));
    Set<String> lines = new TreeSet<>();
    for (String line : host.lines) {
      if (line.startsWith("waiting: ")) {
        continue; // its figures vary; it is no change of a server's state
      }
      assertTrue(line.matches("server \\d+ .*"), line);
      lines.add(line.replaceFirst("server \\d+ ", "").replaceFirst("\\d+ of \\d+", "F of N"));
    }
    return lines;
  }

  @Test
  void thePageShowsEachLineAsItIsPrintedAndNoOther() throws IOException {
    String page = Files.readString(Path.of("README.md"));
    Set<String> shown = new TreeSet<>();
    Matcher code =
        Pattern.compile("`((?:active|passive|cold|draining|ready|gone)[^`]*)`").matcher(page);
    while (code.find()) {
      shown.add(code.group(1));
    }
    assertEquals(printed(), shown);
  }
}
