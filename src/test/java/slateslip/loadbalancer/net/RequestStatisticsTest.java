package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/** Tests the statistics that the agent logs for operators. */
class RequestStatisticsTest {
  private final RequestStatistics statistics = new RequestStatistics();

  @Test
  void periodIsReportedOnceWithOneUnservedRequest() {
    statistics.recordConnect();
    statistics.recordWait(4_000);
    statistics.recordAttempt(Outcome.RESET);
    statistics.recordReset(true, false);
    statistics.recordAttempt(Outcome.OK);
    statistics.recordCompleted(RequestStatistics.Disposition.SERVED, 2);
    statistics.recordCompleted(RequestStatistics.Disposition.REFUSED, 0);
    assertTrue(statistics.wantsUnserved());
    statistics.recordUnserved("a1", "lookup", "refused", 51_000, 424, List.of());
    assertFalse(statistics.wantsUnserved(), "at most one per period");
    assertEquals(
        List.of(
            "tally: served 1 refused 1 failed 0 left 0 (unsent 1), open 3; attempts: ok 1 reset 1 "
                + "(of the resets on kept connections 1, at once 0); waited 2 ms, most 4; dialled 1, connections 2",
            "unserved: a1 lookup refused after 51 of 424 ms, attempts: none"),
        statistics.takeLines(3, 2));
    assertEquals(
        List.of(), statistics.takeLines(0, 0), "nothing has happened since the last report");
  }

  @Test
  void unservedRequestIsReportedWithAttempts() {
    statistics.recordCompleted(RequestStatistics.Disposition.FAILED, 2);
    statistics.recordUnserved(
        "b2", "pay", "failed", 9_000, 100, List.of("s-1 reset after 1 ms", "s-2 out after 2 ms"));
    assertEquals(
        "unserved: b2 pay failed after 9 of 100 ms, attempts: s-1 reset after 1 ms; s-2 out after 2 ms",
        statistics.takeLines(0, 0).get(1));
  }

  /**
   * Guards against one log line per request that the agent failed because the load balancer did not
   * respond.
   */
  @Test
  void givenUpRequestsAreCountedInTally() {
    for (int i = 0; i < 30; i++) {
      statistics.recordCompleted(RequestStatistics.Disposition.FAILED, 0);
      statistics.recordGivenUp();
    }
    List<String> lines = statistics.takeLines(0, 0);
    assertEquals(1, lines.size());
    assertTrue(lines.get(0).endsWith("; given up by the guard 30"), lines.get(0));
  }

  /**
   * Guards against malformed responses that are indistinguishable from network resets and have no
   * logged reason.
   */
  @Test
  void malformedResponsesAreReportedByBoundedReasons() {
    for (int i = 0; i < 10; i++) {
      statistics.recordAttempt(Outcome.RESET);
      statistics.recordMalformed("reason " + i / 2);
    }
    String line = statistics.takeLines(0, 0).get(0);
    assertTrue(
        line.contains(
            "reset 10 (of the resets on kept connections 0, at once 0, for spoilt answers 10 "
                + "{other=2, reason 0=2, reason 1=2, reason 2=2, reason 3=2})"),
        line);
    statistics.recordAttempt(Outcome.RESET);
    assertFalse(statistics.takeLines(0, 0).get(0).contains("spoilt"));
  }
}
