package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.LoadBalancer.Server;

/** The mechanism: probes, window, reactivation, pick, spill, fallback; and its departures. */
class LoadBalancerMechanismTest {
  private static final long SECOND = FakeHost.SECOND;
  private static final double[] NO_LOAD = new double[0];

  private static FakeHost four() {
    return new FakeHost(FakeHost.safe())
        .full(
            FakeHost.server(1, 0),
            FakeHost.server(2, 0),
            FakeHost.server(3, 0),
            FakeHost.server(4, 1));
  }

  private static void failProbes(FakeHost host, long server, int times) {
    for (int i = 0; i < times; i++) {
      host.balancer.probed(host.now, server, Outcome.TIMEOUT, SECOND, NO_LOAD);
    }
  }

  @Test
  void localServersAreProbedOnIntervalOutOfStep() {
    // A single agent, so that the whole interval is its own.
    FakeHost host =
        new FakeHost(
                FakeHost.settings(
                    List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
                    new Permits(4, false, true, true, false, 0),
                    2,
                    1))
            .full(
                FakeHost.server(1, 0),
                FakeHost.server(2, 0),
                FakeHost.server(3, 0),
                FakeHost.server(4, 0),
                FakeHost.server(5, 1));
    for (int i = 0; i < 1000; i++) {
      host.pass(FakeHost.TICK);
      for (FakeHost.Act probe : List.copyOf(host.all("probe"))) {
        if (probe.value() == host.now) {
          host.balancer.probed(host.now, probe.server(), Outcome.OK, 1000, NO_LOAD);
        }
      }
    }
    List<FakeHost.Act> probes = host.all("probe");
    assertEquals(4, probes.stream().map(FakeHost.Act::server).distinct().count());
    assertTrue(probes.size() >= 16 && probes.size() <= 24, "probes in 5 s: " + probes.size());
    assertEquals(probes.size(), probes.stream().map(FakeHost.Act::value).distinct().count());
  }

  /**
   * Failed before: every agent probed every server once a second, however many agents there were.
   */
  @Test
  void manyAgentsTogetherProbeAServerNoMoreOftenThanFew() {
    for (int agents : new int[] {5, 50, 500}) {
      int probes = 0;
      for (int seed = 0; seed < agents; seed++) {
        FakeHost host =
            new FakeHost(
                    FakeHost.settings(
                        List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
                        new Permits(4, false, true, true, false, 0),
                        1,
                        agents),
                    seed)
                .full(
                    FakeHost.server(1, 0),
                    FakeHost.server(2, 0),
                    FakeHost.server(3, 0),
                    FakeHost.server(4, 0));
        for (int i = 0; i < 1000; i++) {
          int before = host.all("probe").size();
          host.pass(2 * FakeHost.TICK);
          for (FakeHost.Act probe : host.all("probe").subList(before, host.all("probe").size())) {
            host.balancer.probed(host.now, probe.server(), Outcome.OK, 1000, NO_LOAD);
          }
        }
        probes += host.all("probe").size();
      }
      // 4 servers over 10 s, each once a second by all agents together: 40.
      assertTrue(probes >= 20 && probes <= 80, agents + " agents: " + probes);
    }
  }

  @Test
  void noProbesWhereTheHostPermitsNone() {
    FakeHost host =
        new FakeHost(
                FakeHost.settings(
                    List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
                    new Permits(3, false, true, false, false, 0),
                    1,
                    1))
            .full(FakeHost.server(1, 0));
    host.pass(5 * SECOND);
    assertTrue(host.all("probe").isEmpty());
  }

  @Test
  void consecutiveFailedProbesMakeUnhealthy() {
    FakeHost host = four();
    failProbes(host, 1, 1);
    assertFalse(host.logged("active Unhealthy"));
    host.balancer.probed(host.now, 1, Outcome.OK, 1000, NO_LOAD);
    failProbes(host, 1, 1);
    assertFalse(host.logged("active Unhealthy"), "the success in between resets the count");
    failProbes(host, 1, 1);
    assertTrue(host.logged("server 1 active Unhealthy"));
    for (int i = 0; i < 30; i++) {
      assertNotEquals(1, host.target(host.request()));
    }
    host.balancer.probed(host.now, 1, Outcome.OK, 1000, NO_LOAD);
    assertTrue(host.logged("server 1 active Healthy"));
  }

  @Test
  void lateProbeIsIgnoredWhileRequestsSucceed() {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    for (int i = 0; i < 4; i++) {
      host.serve(10_000);
      failProbes(host, 1, 1);
    }
    assertFalse(host.logged("active Unhealthy"));
  }

  /** Serves requests; those that go to server 1 end with the given outcome, the first so many. */
  private static void failOnServerOne(FakeHost host, int failures, Outcome outcome) {
    int failed = 0;
    for (int i = 0; i < 400 && failed < failures; i++) {
      long id = host.request();
      boolean fails = host.target(id) == 1;
      failed += fails ? 1 : 0;
      host.end(id, 0, fails ? outcome : Outcome.OK, 10_000);
      if (fails && host.sends(id).size() > 1) {
        host.end(id, 1, Outcome.OK, 10_000);
      }
      host.pass(20_000);
    }
    assertEquals(failures, failed, "server 1 drew too little");
  }

  @Test
  void failureRatioEjectsUntilReactivation() {
    FakeHost host = four();
    failOnServerOne(host, 4, Outcome.TIMEOUT);
    assertFalse(host.logged("passive Unhealthy"), "below the minimum count");
    failOnServerOne(host, 1, Outcome.TIMEOUT);
    assertTrue(host.logged("server 1 passive Unhealthy: 5 of 5 failed"));
    for (int i = 0; i < 20; i++) {
      long id = host.request();
      assertNotEquals(1, host.target(id));
      host.end(id, 0, Outcome.OK, 10_000);
    }
    host.pass(6 * SECOND);
    Set<Long> seen = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      seen.add(host.target(host.request()));
    }
    assertTrue(seen.contains(1L));
    assertTrue(host.logged("server 1 passive Unknown: reactivated"));
  }

  @Test
  void aShareBelowTheLimitDoesNotCount() {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    for (int i = 0; i < 40; i++) {
      long id = host.request();
      host.end(id, 0, i % 4 == 3 ? Outcome.TIMEOUT : Outcome.OK, 10_000);
      host.pass(50_000);
    }
    assertFalse(host.logged("passive Unhealthy"));
  }

  @Test
  void whatFailsEverywhereAlikeRemovesNobody() {
    FakeHost host = four();
    for (int i = 0; i < 100; i++) {
      long id = host.request();
      if (host.target(id) > 0) {
        host.pass(20_000);
        host.end(id, 0, i % 2 == 0 ? Outcome.TIMEOUT : Outcome.OK, 20_000);
      }
      host.pass(100_000);
    }
    long removed = host.lines.stream().filter(l -> l.contains("passive Unhealthy")).count();
    assertTrue(removed <= 2, "removed " + removed);
  }

  @Test
  void ofTwoTheOneWithFewerInFlightIsTaken() {
    FakeHost host =
        new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0), FakeHost.server(2, 0));
    long first = host.target(host.request());
    assertNotEquals(first, host.target(host.request()));
  }

  @Test
  void localZoneIsPreferredUntilWaitExceedsPrice() {
    FakeHost host = four();
    List<Long> ids = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      ids.add(host.request());
    }
    assertTrue(
        ids.stream().noneMatch(id -> host.target(id) == 4), "first the own zone, and then wait");
    assertTrue(ids.stream().anyMatch(id -> host.target(id) == -1));
    host.pass(250_000);
    assertTrue(
        ids.stream().anyMatch(id -> host.target(id) == 4), "the wait has cost as much as crossing");
  }

  @Test
  void otherZonesAreTakenAtOnceWhenNoneIsAvailableHere() {
    FakeHost host = four();
    for (long server = 1; server <= 3; server++) {
      failProbes(host, server, 2);
    }
    assertEquals(4, host.target(host.request()));
  }

  @Test
  void allAreEligibleWhenNoneIsAvailableAnywhere() {
    FakeHost host = four();
    for (long server = 1; server <= 4; server++) {
      failProbes(host, server, 2);
    }
    assertTrue(host.target(host.request()) > 0);
  }

  @Test
  void failingServerBacksOff() {
    FakeHost host =
        new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0), FakeHost.server(2, 0));
    for (int i = 0; i < 20; i++) {
      host.serve(50_000);
    }
    int toOne = 0;
    for (int i = 0; i < 40; i++) {
      long id = host.request();
      for (int a = 0; a < host.sends(id).size(); a++) {
        boolean one = host.sends(id).get(a).server() == 1;
        toOne += one ? 1 : 0;
        host.end(id, a, one ? Outcome.FULL : Outcome.OK, one ? 4_000 : 50_000);
      }
      host.pass(10_000);
    }
    assertTrue(toOne <= 6, "sent " + toOne);
  }

  /**
   * Failed before: where one attempt in seven is reset, a third of the servers rested at any time.
   */
  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"RESET", "FULL", "CONNECT_FAILED", "ERROR"})
  void aSingleFailureBetweenAnswersIsNoReasonToRestAndASecondInARowIs(Outcome outcome) {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    for (int i = 0; i < 20; i++) {
      host.serve(50_000);
    }
    host.end(host.request(), 0, outcome, 1000);
    long next = host.request();
    assertEquals(1, host.target(next));
    host.end(next, 0, outcome, 1000);
    assertEquals(-1, host.target(host.request()));
  }

  @Test
  void timingOutServerBacksOffUnlessOthersSucceed() {
    FakeHost unresponsive = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    long lost = unresponsive.request();
    unresponsive.pass(SECOND / 2);
    unresponsive.end(lost, 0, Outcome.TIMEOUT, SECOND / 2);
    assertEquals(0, unresponsive.sends(unresponsive.request()).size());

    FakeHost busy = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    long heavy = busy.request();
    busy.pass(SECOND / 4);
    busy.serve(SECOND / 8);
    busy.pass(SECOND / 8);
    busy.end(heavy, 0, Outcome.TIMEOUT, SECOND / 2);
    assertEquals(1, busy.sends(busy.request()).size());
  }

  @Test
  void theMoreValuableOfTwoHeldClassesGoesFirst() {
    var cheap =
        new LoadBalancer.RequestClass(
            SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, false);
    var dear =
        new LoadBalancer.RequestClass(
            SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 8, 0, false);
    FakeHost host =
        new FakeHost(
                FakeHost.settings(
                    List.of(cheap, dear), new Permits(3, false, true, true, false, 0), 1, 2))
            .full(FakeHost.server(1, 0));
    List<Long> first = new ArrayList<>();
    while (first.isEmpty() || host.target(first.get(first.size() - 1)) == 1) {
      first.add(host.request(0, 0));
    }
    long waiting = first.get(first.size() - 1);
    long valuable = host.request(1, 0);
    host.pass(100_000);
    assertEquals(-1, host.target(valuable));
    host.end(first.get(0), 0, Outcome.OK, 100_000);
    assertEquals(1, host.target(valuable));
    assertEquals(-1, host.target(waiting));
  }

  @Test
  void expiredMarkedRetryIsRejectedAtOnce() {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    for (int i = 0; i < 60; i++) {
      host.serve(300_000);
    }
    for (int i = 0; i < 60; i++) {
      host.request(); // more than one server can take: most wait and are refused
    }
    host.pass(SECOND);
    host.balancer.request(
        host.now, new LoadBalancer.Request(9999, 0, 0, 0, 0, host.now + 3 * SECOND, true, false));
    assertEquals(1, host.of("refuse", 9999).size());
    assertTrue(host.sends(9999).isEmpty());
  }

  @Test
  void newestQueuedRequestCrossesZones() {
    FakeHost host = four();
    for (int i = 0; i < 40; i++) {
      host.request();
    }
    host.pass(100_000);
    List<Long> newer = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      newer.add(host.request());
    }
    host.pass(200_000); // the old may cross since 200 ms of waiting, and have filled the other zone
    assertTrue(newer.stream().noneMatch(id -> host.target(id) == 4));
    host.pass(30_000); // now the newer may, too
    host.acts.stream()
        .filter(a -> a.what().equals("send") && a.server() == 4)
        .toList()
        .forEach(a -> host.end(a.id(), 0, Outcome.OK, 200_000));
    assertTrue(newer.stream().anyMatch(id -> host.target(id) == 4));
  }

  @Test
  void warmingServerGetsOnlyWhatItCanFinish() {
    FakeHost host =
        new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0), FakeHost.server(2, 0));
    for (int i = 0; i < 40; i++) {
      host.serve(400_000);
    }
    host.list(
        LoadBalancer.ListKind.FULL, FakeHost.server(3, 0, LoadBalancer.Phase.READY, host.now));
    long early =
        host.request(); // a fifth of its capacity: two seconds for a request wanted within one
    assertEquals(-1, host.target(early));
    host.pass(15 * SECOND);
    assertEquals(3, host.target(host.request()));
  }

  @Test
  void aSuspectedRestartIsDroppedUnlessTheListConfirmsIt() {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    for (int i = 0; i < 20; i++) {
      host.serve(50_000);
    }
    failProbes(host, 1, 3); // the first is excused by the answers before it
    host.pass(SECOND);
    host.balancer.probed(host.now, 1, Outcome.OK, 1000, NO_LOAD);
    host.serve(50_000); // the one request a server that is warming up may have at once
    assertEquals(-1, host.target(host.request()));
    host.pass(6 * SECOND);
    for (int i = 0; i < 3; i++) {
      assertEquals(1, host.target(host.request()));
    }
  }

  @Test
  void limitBelowOneBacksOffUntilFastResponses() {
    FakeHost host =
        new FakeHost(
                FakeHost.settings(
                    List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
                    new Permits(3, false, true, true, false, 0),
                    1,
                    13))
            .full(FakeHost.server(1, 0));
    for (int i = 0; i < 10; i++) {
      host.serve(900_000); // slow
      host.pass(2 * SECOND);
    }
    host.serve(20_000);
    long paused = host.request();
    assertEquals(
        -1, host.target(paused), "thirteen agents with one request each would be too much");
    host.pass(100_000);
    assertEquals(1, host.target(paused));
    host.end(paused, 0, Outcome.OK, 100_000);
    host.pass(SECOND);
    host.serve(20_000);
    assertEquals(
        1, host.target(host.request()), "three fast answers have lifted the limit over one");
  }

  /**
   * First tries bring 3 of the 4 s for all attempts; returns a hand with one busy server and
   * requests held.
   */
  private static FakeHost afterManyFirstAttempts(boolean busy) {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    for (int i = 0; i < 60; i++) {
      host.serve(100_000);
    }
    for (int i = 0; busy && i < 30; i++) {
      host.request();
    }
    return host;
  }

  private static FakeHost.Act bring(FakeHost host, long left) {
    int before = host.acts.size();
    host.balancer.request(
        host.now, new LoadBalancer.Request(777, 0, 0, 0, 0, host.now + left, false, false));
    return host.acts.subList(before, host.acts.size()).stream()
        .filter(a -> a.id() == 777 && !a.what().equals("timer"))
        .findFirst()
        .orElse(null);
  }

  @Test
  void unmarkedRetryIsDetectedByTimeLeft() {
    assertEquals(
        "refuse",
        bring(afterManyFirstAttempts(true), 2 * SECOND).what(),
        "two of four seconds are spent");
    assertEquals(null, bring(afterManyFirstAttempts(true), 3 * SECOND), "a first try is held");
    assertEquals(
        null,
        bring(afterManyFirstAttempts(true), 3 * SECOND + 900_000),
        "an early repeat has time left");
    assertEquals(
        "send",
        bring(afterManyFirstAttempts(false), 2 * SECOND).what(),
        "while nobody waits it is served");
  }

  @Test
  void firstAttemptsAreNotTakenForRetries() {
    FakeHost host = afterManyFirstAttempts(false);
    for (int i = 0; i < 3; i++) {
      host.balancer.request(
          host.now,
          new LoadBalancer.Request(
              900 + i, 0, 0, 0, 0, host.now + 3 * SECOND + 900_000, false, false));
      host.end(900 + i, 0, Outcome.OK, 1000);
    }
    for (int i = 0; i < 30; i++) {
      host.request();
    }
    assertEquals(null, bring(host, 3 * SECOND), "held, not refused");
  }

  @Test
  void keysStayWithTheirTwoServersAtEveryAgent() {
    var settings =
        FakeHost.settings(
            List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
            new Permits(3, false, true, true, false, 0),
            1,
            2,
            false,
            true,
            List.of());
    FakeHost one = new FakeHost(settings, 1);
    FakeHost other = new FakeHost(settings, 2);
    for (FakeHost host : List.of(one, other)) {
      host.full(
          FakeHost.server(1, 0),
          FakeHost.server(2, 0),
          FakeHost.server(3, 0),
          FakeHost.server(4, 0));
    }
    for (long key = 1; key < 30; key++) {
      long a = one.request(0, key);
      long b = other.request(0, key);
      assertEquals(one.target(a), other.target(b));
      one.end(a, 0, Outcome.OK, 1000);
      other.end(b, 0, Outcome.OK, 1000);
    }
  }

  private static LoadBalancer.Settings keyed(int zones) {
    return FakeHost.settings(
        List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
        new Permits(3, false, true, true, false, 0),
        zones,
        2,
        false,
        true,
        List.of());
  }

  @Test
  void aMuchAskedKeySpreadsBeforeItsServersAreFull() {
    FakeHost host = new FakeHost(keyed(1), 1);
    host.full(
        FakeHost.server(1, 0), FakeHost.server(2, 0), FakeHost.server(3, 0), FakeHost.server(4, 0));
    Map<Long, Integer> sent = new HashMap<>();
    for (int i = 0; i < 12; i++) {
      sent.merge(host.target(host.request(0, 42)), 1, Integer::sum);
    }
    assertTrue(sent.size() >= 3, sent.toString());
    assertTrue(Collections.max(sent.values()) <= 5, sent.toString());
  }

  @Test
  void lessBusyOfKeysTwoServersIsSelected() {
    FakeHost host = new FakeHost(keyed(1), 1);
    host.full(FakeHost.server(1, 0), FakeHost.server(2, 0));
    List<Long> sent = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      sent.add(host.target(host.request(0, 42)));
    }
    long home = sent.get(0);
    assertEquals(List.of(home, 3 - home, home, 3 - home), sent);
  }

  @Test
  void sameKeysCrossZonesUnderPressure() {
    FakeHost host = new FakeHost(keyed(2), 1);
    host.full(FakeHost.server(1, 0), FakeHost.server(2, 1));
    Set<Long> early = crossers(host);
    assertEquals(Set.of(), early);
    for (int round = 0; round < 20; round++) {
      List<Long> out = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        out.add(host.request(0, 1000 + i));
      }
      host.pass(SECOND / 4);
      while (!out.isEmpty()) {
        List<Long> sent = out.stream().filter(r -> !host.sends(r).isEmpty()).toList();
        sent.forEach(r -> host.end(r, 0, Outcome.OK, SECOND / 4));
        out.removeAll(sent);
        out.removeIf(r -> !host.of("refuse", r).isEmpty());
        host.pass(FakeHost.TICK);
      }
      host.pass(2 * SECOND);
    }
    Set<Long> some = crossers(host);
    assertTrue(!some.isEmpty() && some.size() < 100, some.size() + " of 100 keys cross");
    assertTrue(some.containsAll(crossers(host)), "the same keys, fewer as the zone is quiet");
  }

  /** Which of a hundred keys, asked for one at a time, are sent to zone 1 at once. */
  private static Set<Long> crossers(FakeHost host) {
    Set<Long> crossed = new TreeSet<>();
    for (long key = 1; key <= 100; key++) {
      long id = host.request(0, key);
      if (host.target(id) == 2) {
        crossed.add(key);
      }
      host.end(id, 0, Outcome.OK, SECOND / 4);
    }
    return crossed;
  }

  @Test
  void returningServerIsListedOnce() {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    long out = host.request();
    host.full(FakeHost.server(2, 0));
    host.full(FakeHost.server(1, 0), FakeHost.server(2, 0))
        .full(FakeHost.server(1, 0), FakeHost.server(2, 0));
    host.full(FakeHost.server(2, 0));
    host.end(out, 0, Outcome.OK, 1000);
    for (int i = 0; i < 5; i++) {
      assertEquals(2, host.target(host.serve(1000)));
    }
    assertEquals(2, host.lines.stream().filter(each -> each.contains("server 1 gone")).count());
  }

  private static FakeHost oneOfMany(int agents, int servers) {
    Server[] list = new Server[servers];
    for (int i = 0; i < servers; i++) {
      list[i] = FakeHost.server(i + 1, 0);
    }
    return new FakeHost(
            FakeHost.settings(
                List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
                new Permits(4, false, true, false, false, 0),
                1,
                agents))
        .full(list);
  }

  private static long used(FakeHost host) {
    return host.all("send").stream().map(FakeHost.Act::server).distinct().count();
  }

  /** Failed before: a light agent among hundreds opened a connection to every server there was. */
  @Test
  void subsetGrowsWithLoad() {
    FakeHost light = oneOfMany(400, 40);
    for (int i = 0; i < 60; i++) {
      light.serve(50_000);
      light.pass(SECOND);
    }
    assertTrue(used(light) >= 2 && used(light) <= 4, "used " + used(light));
    FakeHost heavy = oneOfMany(400, 40);
    for (int i = 0; i < 400; i++) {
      List<Long> ids = new ArrayList<>();
      for (int k = 0; k < 8; k++) {
        ids.add(heavy.request());
      }
      heavy.pass(50_000);
      for (long id : ids) {
        if (!heavy.sends(id).isEmpty()) {
          heavy.end(id, heavy.sends(id).size() - 1, Outcome.OK, 50_000);
        }
      }
    }
    assertTrue(used(heavy) >= 12, "used " + used(heavy));
    FakeHost few = oneOfMany(4, 40);
    for (int i = 0; i < 400; i++) {
      few.serve(50_000);
    }
    assertTrue(used(few) >= 30, "used " + used(few));
  }

  /**
   * Failed before (in a first draft): counted by what is out, the subset grew in a jam, and the jam
   * with it.
   */
  @Test
  void aJamDoesNotWidenTheSubset() {
    FakeHost host = oneOfMany(400, 40);
    for (int i = 0; i < 20; i++) {
      host.serve(50_000);
      host.pass(SECOND / 2);
    }
    for (int i = 0; i < 60; i++) {
      long id = host.request();
      host.pass(2 * SECOND);
      if (!host.sends(id).isEmpty()) {
        host.end(id, 0, Outcome.OK, 2 * SECOND);
      }
    }
    assertTrue(used(host) <= 4, "used " + used(host));
  }

  @Test
  void aSubsetGivesWayWhenItsMembersFail() {
    FakeHost host = oneOfMany(400, 40);
    for (int i = 0; i < 20; i++) {
      host.serve(50_000);
    }
    List<Long> first = host.all("send").stream().map(FakeHost.Act::server).distinct().toList();
    for (long server : first) {
      host.balancer.probed(host.now, server, Outcome.CONNECT_FAILED, SECOND, NO_LOAD);
      host.pass(SECOND);
      host.balancer.probed(host.now, server, Outcome.CONNECT_FAILED, SECOND, NO_LOAD);
    }
    long id = host.request();
    assertTrue(!first.contains(host.target(id)) && host.target(id) > 0);
  }

  @Test
  void fasterOfEquallyLoadedIsPreferred() {
    FakeHost host =
        new FakeHost(
                FakeHost.settings(
                    List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
                    new Permits(4, false, true, false, false, 0),
                    1,
                    4))
            .full(FakeHost.server(1, 0), FakeHost.server(2, 0));
    int toFast = 0;
    for (int i = 0; i < 100; i++) {
      long id = host.request();
      long spent = host.target(id) == 1 ? 40_000 : 120_000;
      host.pass(spent);
      host.end(id, 0, Outcome.OK, spent);
      toFast += host.target(id) == 1 ? 1 : 0;
    }
    assertTrue(toFast >= 85, "to the faster " + toFast);
  }

  /**
   * Failed before: each of hundreds of agents sent one request to every server of its subset at
   * once.
   */
  @Test
  void manyAgentsStartWithFewRequestsOutInAll() {
    FakeHost host = oneOfMany(400, 40);
    for (int i = 0; i < 10; i++) {
      host.request();
    }
    assertEquals(1, host.all("send").size());
    FakeHost few = oneOfMany(2, 3);
    for (int i = 0; i < 10; i++) {
      few.request();
    }
    assertEquals(10, few.all("send").size());
  }

  /** Failed before: a late answer paused a server for no longer than a merely slow one. */
  @Test
  void lateResponseBacksOffLightAgentLonger() {
    long[] sentAgainAfter = new long[2];
    for (int late = 0; late < 2; late++) {
      FakeHost host = oneOfMany(100, 1);
      for (int i = 0; i < 5; i++) {
        host.serve(50_000);
        host.pass(SECOND);
      }
      long slow = host.request();
      long spent = late == 0 ? 900_000 : 1_100_000; // the aim is one second
      host.pass(spent);
      host.balancer.outcome(host.now, slow, 0, host.target(slow), Outcome.OK, spent, true, NO_LOAD);
      long began = host.now;
      int sends = host.all("send").size();
      while (host.all("send").size() == sends && host.now < began + 60 * SECOND) {
        host.request();
        host.pass(SECOND / 10);
      }
      sentAgainAfter[late] = host.now - began;
    }
    assertTrue(
        sentAgainAfter[1] >= 2 * sentAgainAfter[0],
        sentAgainAfter[0] + " and " + sentAgainAfter[1]);
  }

  /**
   * How many of eight requests go out at once to one server after many answers of these times, in
   * turn.
   */
  private static int capacityAfter(long... spent) {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    int responses = 0;
    for (int round = 0; round < 60; round++) {
      List<Long> ids = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        ids.add(host.request());
      }
      host.pass(50_000);
      while (!ids.isEmpty()) { // what was held goes out as room comes
        long id =
            ids.stream().filter(each -> !host.sends(each).isEmpty()).findFirst().orElseThrow();
        ids.remove(id);
        host.end(id, 0, Outcome.OK, spent[responses++ % spent.length]);
      }
    }
    int sent = 0;
    for (int i = 0; i < 8; i++) {
      sent += host.sends(host.request()).size();
    }
    return sent;
  }

  /**
   * Works vary. Failed before: one slow answer in nine outweighed the others, and idle servers were
   * closed.
   */
  @Test
  void oneSlowAnswerInSevenLeavesAnIdleServerItsRoom() {
    int sent = capacityAfter(50_000, 50_000, 50_000, 50_000, 50_000, 50_000, 300_000);
    assertTrue(sent >= 4, "sent " + sent);
  }

  /**
   * Failed before: a response was slow past half the aim, which is a second, though the work took
   * as long.
   */
  @Test
  void halfTargetWorkKeepsIdleCapacity() {
    int sent =
        capacityAfter(
            300_000, 550_000, 400_000, 600_000, 350_000, 500_000, 680_000, 450_000, 630_000);
    assertTrue(sent >= 4, "sent " + sent);
  }

  /**
   * Failed before: until it had seen fifty answers of one class, a light agent took what a jam took
   * for the usual time, as long as that was within two thirds of the aim.
   */
  @Test
  void unknownClassUsesAllLatencies() {
    var type = FakeHost.type(Semantics.SAFE, Scope.ALL);
    FakeHost host =
        new FakeHost(
                FakeHost.settings(
                    List.of(type, type, type, type),
                    new Permits(3, false, true, true, false, 0),
                    1,
                    2))
            .full(FakeHost.server(1, 0));
    for (int i = 0; i < 120; i++) {
      long id = host.request(i % 4, 0);
      long spent =
          i < 60 ? 30_000 : 300_000; // an aim of a second, and thirty answers of each class
      host.pass(spent);
      host.end(id, 0, Outcome.OK, spent);
    }
    int sent = 0;
    for (int i = 0; i < 8; i++) {
      sent += host.sends(host.request(i % 4, 0)).size();
    }
    assertTrue(sent <= 2, "sent " + sent);
  }

  /** Else the limit would hold back nothing. */
  @Test
  void answersOfWhichEverySecondIsSlowCloseAServer() {
    assertEquals(1, capacityAfter(50_000, 700_000));
  }

  /** Failed before: every refused client was told the longest wait that it might be told. */
  @Test
  void aRefusedClientIsToldToComeBackWhenThereWillBeRoom() {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    for (int i = 0; i < 100; i++) {
      host.serve(50_000);
    }
    for (int i = 0; i < 40; i++) {
      host.request();
    }
    host.pass(SECOND);
    List<Long> notified = host.all("refuse").stream().map(FakeHost.Act::value).toList();
    assertTrue(notified.size() >= 20, "refused " + notified.size());
    for (long wait : notified) {
      assertTrue(wait >= 50_000 && wait <= SECOND, "told " + wait);
    }
    assertTrue(
        notified.get(notified.size() - 1) < SECOND / 2, "the last of the queue: " + notified);
  }

  /**
   * Failed before: heavy requests that timed out at servers that answered the rest closed them all.
   */
  @Test
  void timeOutsWhileTheServerAnswersOthersLeaveItItsRoom() {
    FakeHost host = new FakeHost(FakeHost.safe()).full(FakeHost.server(1, 0));
    for (int round = 0; round < 60; round++) {
      List<Long> ids = new ArrayList<>();
      for (int i = 0; i < 7; i++) {
        ids.add(host.request());
      }
      host.pass(50_000);
      List<Long> heavy =
          ids.subList(0, 2).stream().filter(id -> !host.sends(id).isEmpty()).toList();
      for (long id : ids) {
        if (!heavy.contains(id) && !host.sends(id).isEmpty()) {
          host.end(id, 0, Outcome.OK, 50_000);
        }
      }
      host.pass(300_000);
      heavy.forEach(id -> host.end(id, 0, Outcome.TIMEOUT, 350_000));
      for (long id : ids) { // what has been sent again, or late
        int attempts = host.sends(id).size();
        if (attempts > (heavy.contains(id) ? 1 : 0)) {
          host.end(id, attempts - 1, Outcome.OK, 50_000);
        }
      }
    }
    int sent = 0;
    for (int i = 0; i < 8; i++) {
      sent += host.sends(host.request()).size();
    }
    assertTrue(sent >= 4, "sent " + sent);
  }
}
