package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;

/**
 * Tests the rules on final responses, repeated effects and draining servers, with their edge cases.
 */
class DefaultLoadBalancerTest {
  private static final long SECOND = FakeHost.SECOND;

  private static FakeHost threeServers(Semantics semantics, Scope scope) {
    return new FakeHost(FakeHost.settings(semantics, scope))
        .fullList(FakeHost.server(1, 0), FakeHost.server(2, 0), FakeHost.server(3, 1));
  }

  // ---- one final response by the deadline ----

  @Test
  void requestWithEndlessAttemptGetsOneFinalResponse() {
    FakeHost host = threeServers(Semantics.SAFE, Scope.ALL);
    long id = host.request();
    host.advance(2 * SECOND);
    assertEquals(1, host.actions("refuse", id).size() + host.actions("fail", id).size());
    host.advance(2 * SECOND);
    assertEquals(1, host.actions("refuse", id).size() + host.actions("fail", id).size());
    assertEquals(1, host.sends(id).size());
  }

  @Test
  void deadlineOfRequestOverridesClassTimeout() {
    FakeHost host = threeServers(Semantics.UNSAFE, Scope.ALL);
    host.balancer.request(
        host.now, new LoadBalancer.Request(99, 0, 0, 0, 0, host.now + 200_000, false, false));
    host.advance(215_000);
    assertEquals(1, host.actions("fail", 99).size());
  }

  @Test
  void requestWithoutAnyServerIsRefusedByItsDeadline() {
    FakeHost host = new FakeHost(FakeHost.settings(Semantics.UNSAFE, Scope.ALL)).fullList();
    long id = host.request();
    host.advance(SECOND + 10_000);
    assertEquals(1, host.actions("refuse", id).size());
    assertTrue(host.sends(id).isEmpty());
  }

  @Test
  void eventsOfClosedRequestsAreIgnored() {
    FakeHost host = threeServers(Semantics.SAFE, Scope.ALL);
    long id = host.request();
    host.complete(id, 0, Outcome.OK, 1000);
    int before = host.actions.size();
    host.complete(id, 0, Outcome.OK, 1000);
    host.balancer.clientLeft(host.now, id);
    host.balancer.timer(host.now, 0);
    assertEquals(before, host.actions.size());
  }

  /**
   * Guards against counting requests of disconnected clients as queued, which made the retry delay
   * of refused clients too long.
   */
  @Test
  void departedClientLeavesQueue() {
    long[] retryDelays = new long[2];
    for (int leaving = 0; leaving < 2; leaving++) {
      FakeHost host = new FakeHost(FakeHost.safeSettings()).fullList(FakeHost.server(1, 0));
      for (int i = 0; i < 100; i++) {
        host.serve(25_000);
      }
      host.fullList(FakeHost.server(1, 0, Phase.DRAINING, 0));
      long first = host.request();
      long[] between = new long[20 * leaving];
      Arrays.setAll(between, i -> host.request());
      host.request(); // the requests in between would be queued behind this request
      Arrays.stream(between).forEach(each -> host.balancer.clientLeft(host.now, each));
      host.advance(SECOND);
      retryDelays[leaving] = host.actions("refuse", first).get(0).value();
    }
    assertEquals(retryDelays[0], retryDelays[1]);
  }

  @Test
  void disconnectedClientGetsNoRetryOrResponse() {
    FakeHost host = threeServers(Semantics.SAFE, Scope.ALL);
    long id = host.request();
    host.balancer.clientLeft(host.now, id);
    host.complete(id, 0, Outcome.CONNECT_FAILED, 1000);
    host.advance(3 * SECOND);
    assertEquals(1, host.sends(id).size());
    assertTrue(host.actions("refuse", id).isEmpty() && host.actions("fail", id).isEmpty());
  }

  @Test
  void startedStreamHasNoDeadline() {
    var streamed =
        new LoadBalancer.RequestClass(
            SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, true);
    FakeHost host =
        new FakeHost(
                FakeHost.settings(
                    List.of(streamed), new Permits(3, false, true, true, false, 0), 1, 1))
            .fullList(FakeHost.server(1, 0));
    long id = host.request();
    host.balancer.streamStarted(host.now, id, 0, 1, 100);
    host.advance(10 * SECOND);
    assertTrue(host.actions("fail", id).isEmpty() && host.actions("refuse", id).isEmpty());
  }

  // ---- no repeated effect ----

  @Test
  void unsafeRequestIsRetriedOnlyAfterProofThatItNeverRan() {
    for (Outcome outcome : Outcome.values()) {
      if (outcome == Outcome.OK || outcome == Outcome.NEVER_SENT) {
        continue;
      }
      FakeHost host = threeServers(Semantics.UNSAFE, Scope.ALL);
      long id = host.request();
      host.complete(id, 0, outcome, 1000);
      boolean provenNotRun = outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED;
      host.advance(50_000);
      if (provenNotRun) {
        host.complete(id, 1, Outcome.OK, 1000);
      }
      host.advance(SECOND);
      assertEquals(provenNotRun ? 2 : 1, host.sends(id).size(), outcome.toString());
      assertEquals(provenNotRun ? 0 : 1, host.actions("fail", id).size(), outcome.toString());
      assertTrue(host.actions("refuse", id).isEmpty(), outcome.toString());
    }
  }

  /**
   * Guards against a request that is queued until its deadline and then refused because it has been
   * sent to all servers, although no attempt reached one.
   */
  @Test
  void requestThatReachedNoServerIsRetriedOnTriedServer() {
    FakeHost host =
        new FakeHost(FakeHost.settings(Semantics.UNSAFE, Scope.ALL))
            .fullList(FakeHost.server(1, 0), FakeHost.server(2, 1));
    long id = host.request();
    host.complete(id, 0, Outcome.CONNECT_FAILED, 1000);
    // The request crosses to the other zone once its wait exceeds the price.
    host.advance(SECOND / 4);
    assertEquals(
        2, host.sends(id).stream().map(FakeHost.RecordedAction::server).distinct().count());
    host.complete(id, 1, Outcome.CONNECT_FAILED, 1000);
    host.advance(SECOND / 4);
    assertEquals(3, host.sends(id).size());
    host.complete(id, 2, Outcome.RESET, 1000);
    host.advance(SECOND);
    assertEquals(3, host.sends(id).size(), "a request that may have run is not retried");
  }

  /** Guards against retries that add work when all servers are overloaded. */
  @Test
  void rejectedEverywhereIsNotResentThere() {
    FakeHost host =
        new FakeHost(FakeHost.settings(Semantics.UNSAFE, Scope.ALL))
            .fullList(FakeHost.server(1, 0), FakeHost.server(2, 1));
    long id = host.request();
    host.complete(id, 0, Outcome.FULL, 1000);
    host.advance(SECOND / 4);
    host.complete(id, 1, Outcome.FULL, 1000);
    host.advance(SECOND / 4);
    assertEquals(2, host.sends(id).size());
  }

  /**
   * Guards against retrying the same server repeatedly while another server is only at its limit.
   */
  @Test
  void untriedServerIsPreferredToUnreached() {
    FakeHost host =
        new FakeHost(FakeHost.safeSettings())
            .fullList(FakeHost.server(1, 0), FakeHost.server(2, 0));
    long id = host.request();
    long unreachedServer = host.target(id);
    List<Long> fillingRequests = new ArrayList<>();
    long last = host.request();
    while (host.target(last) >= 0) {
      fillingRequests.add(last);
      last = host.request();
    }
    host.balancer.clientLeft(host.now, last);
    host.complete(id, 0, Outcome.CONNECT_FAILED, 1000);
    fillingRequests.stream()
        .filter(each -> host.target(each) == unreachedServer)
        .forEach(each -> host.complete(each, 0, Outcome.OK, 1000));
    host.advance(SECOND / 2);
    assertEquals(1, host.sends(id).size());
    fillingRequests.stream()
        .filter(each -> host.target(each) != unreachedServer)
        .forEach(each -> host.complete(each, 0, Outcome.OK, 1000));
    assertEquals(2, host.sends(id).size());
    assertTrue(host.target(id) != unreachedServer);
  }

  @Test
  void zoneScopedRequestIsRetriedOnlyInItsZone() {
    for (long seed = 0; seed < 20; seed++) {
      FakeHost host =
          new FakeHost(FakeHost.settings(Semantics.KEYED, Scope.ZONE), seed)
              .fullList(
                  FakeHost.server(1, 0),
                  FakeHost.server(2, 0),
                  FakeHost.server(3, 1),
                  FakeHost.server(4, 1));
      long id = host.request();
      host.complete(id, 0, Outcome.RESET, 1000);
      host.advance(10_000);
      assertEquals(2, host.sends(id).size());
      assertTrue(host.sends(id).get(1).server() <= 2);
      host.complete(id, 1, Outcome.ERROR, 1000);
      host.advance(2 * SECOND);
      assertEquals(2, host.sends(id).size(), "both servers of the scope have been tried");
      assertTrue(host.actions("refuse", id).isEmpty());
      assertEquals(1, host.actions("fail", id).size());
    }
  }

  @Test
  void cellScopedRequestIsRetriedOnlyInItsCell() {
    FakeHost host =
        new FakeHost(FakeHost.settings(Semantics.KEYED, Scope.CELL))
            .fullList(
                new LoadBalancer.Server(1, 0, 10, 0, Phase.READY, 1, 0),
                new LoadBalancer.Server(2, 0, 11, 0, Phase.READY, 1, 0));
    long id = host.request();
    host.complete(id, 0, Outcome.ERROR, 1000);
    host.advance(2 * SECOND);
    assertEquals(1, host.sends(id).size());
    assertEquals(1, host.actions("fail", id).size());
  }

  @Test
  void keyedRequestIsNotRetriedAfterItsWindow() {
    var late =
        new LoadBalancer.RequestClass(
            3 * SECOND, 0, 4 * SECOND, Semantics.KEYED, Scope.ALL, SECOND, 1, 0, false);
    FakeHost host =
        new FakeHost(
                FakeHost.settings(List.of(late), new Permits(4, false, true, true, false, 0), 1, 1))
            .fullList(FakeHost.server(1, 0), FakeHost.server(2, 0));
    long id = host.request();
    host.advance(900_000);
    host.complete(id, 0, Outcome.RESET, 900_000);
    host.advance(3 * SECOND);
    assertEquals(1, host.sends(id).size());
    assertEquals(
        1,
        host.actions("refuse", id).size(),
        "the scope is all servers, so a retry by the client is harmless");
  }

  @Test
  void secondAttemptIsNotSentWhileDuplicatesAreForbidden() {
    FakeHost host = threeServers(Semantics.SAFE, Scope.ALL);
    long id = host.request();
    host.advance(900_000);
    assertEquals(1, host.sends(id).size());
  }

  @Test
  void attemptLimitIsKept() {
    FakeHost host =
        new FakeHost(
                FakeHost.settings(
                    List.of(FakeHost.requestClass(Semantics.SAFE, Scope.ALL)),
                    new Permits(2, false, true, true, false, 0),
                    1,
                    1))
            .fullList(
                FakeHost.server(1, 0),
                FakeHost.server(2, 0),
                FakeHost.server(3, 0),
                FakeHost.server(4, 0));
    long id = host.request();
    host.complete(id, 0, Outcome.CONNECT_FAILED, 1000);
    host.complete(id, 1, Outcome.CONNECT_FAILED, 1000);
    host.advance(2 * SECOND);
    assertEquals(2, host.sends(id).size());
    assertEquals(1, host.actions("refuse", id).size());
  }

  // ---- draining servers ----

  @Test
  void drainingServerGetsNothingEvenIfAlone() {
    for (Phase phase : List.of(Phase.DRAINING, Phase.GONE)) {
      FakeHost host = new FakeHost(FakeHost.safeSettings()).fullList(FakeHost.server(1, 0));
      host.list(ListKind.DELTA, FakeHost.server(1, 0, phase, 0));
      long id = host.request();
      host.advance(2 * SECOND);
      assertTrue(host.sends(id).isEmpty());
    }
  }

  @Test
  void fullListRemovesMissingAndRestoresReady() {
    FakeHost host = threeServers(Semantics.SAFE, Scope.ALL);
    host.fullList(FakeHost.server(2, 0));
    for (int i = 0; i < 6; i++) {
      long id = host.request();
      assertEquals(2, host.target(id));
      host.complete(id, 0, Outcome.OK, 1000);
    }
    host.fullList(FakeHost.server(2, 0, Phase.DRAINING, 0), FakeHost.server(1, 0));
    assertEquals(1, host.target(host.request()));
    host.list(ListKind.DELTA, FakeHost.server(2, 0), FakeHost.server(1, 0, Phase.GONE, 0));
    assertEquals(2, host.target(host.request()));
  }

  @Test
  void staleEntriesChangeNothing() {
    FakeHost host = new FakeHost(FakeHost.safeSettings()).fullList(FakeHost.server(1, 0));
    host.list(ListKind.DELTA, FakeHost.server(9, 0, Phase.GONE, 0));
    host.list(
        ListKind.DELTA,
        FakeHost.server(9, 0, Phase.GONE, 0),
        FakeHost.server(1, 0),
        FakeHost.server(1, 0));
    host.balancer.probed(host.now, 77, Outcome.OK, 1000, new double[0]);
    for (int i = 0; i < 20; i++) {
      assertEquals(1, host.target(host.serve(20_000)));
    }
    host.list(
        ListKind.DELTA,
        FakeHost.server(8, 0, Phase.DRAINING, 0),
        FakeHost.server(1, 0, Phase.DRAINING, 0));
    assertEquals(-1, host.target(host.request()));
  }
}
