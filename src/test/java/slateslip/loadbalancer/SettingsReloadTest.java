package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Obligations;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Request;
import slateslip.loadbalancer.LoadBalancer.RequestClass;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.LoadBalancer.Settings;

/**
 * Tests new settings while the load balancer runs: which state is kept, which rules change, and
 * which retries of pending requests are still permitted.
 */
class SettingsReloadTest {
  private static final long SECOND = FakeHost.SECOND;
  static final Permits PERMITS = new Permits(4, false, true, true, false, SECOND);

  static RequestClass type(Semantics semantics, Scope scope, long window) {
    return new RequestClass(2 * SECOND, 0, 4 * SECOND, semantics, scope, window, 1, 0, false);
  }

  private static RequestClass type(String spec) {
    String[] parts = spec.split("-", -1);
    return type(
        Semantics.valueOf(parts[0]),
        parts.length > 1 ? Scope.valueOf(parts[1]) : Scope.ALL,
        parts.length > 2 ? Long.parseLong(parts[2]) * SECOND : 2 * SECOND);
  }

  static Settings settings(int zone, int zones, Permits permits, RequestClass... classes) {
    Settings s = FakeHost.settings(List.of(classes), permits, zones, 2);
    return new Settings(
        s.agent(),
        s.agents(),
        zone,
        zones,
        s.tick(),
        false,
        false,
        false,
        false,
        0.1,
        permits,
        s.obligations(),
        s.prices(),
        s.goal(),
        s.classes(),
        List.of(),
        List.of());
  }

  private static List<Integer> unchangedPositions(int n) {
    return IntStream.range(0, n).boxed().toList();
  }

  private static void applySettings(FakeHost host, Settings next, List<Integer> classes) {
    host.balancer.settings(
        host.now, new SettingsReload(next, classes, unchangedPositions(2), unchangedPositions(1)));
  }

  /**
   * Changes or removes the class of a request while its first attempt is in flight. Then the
   * attempt ends while another server is available.
   */
  @ParameterizedTest
  @CsvSource({
    // class on arrival, new class (empty if removed), outcome of the first attempt, time until its
    // end in tenths of a second, whether the request is retried
    "SAFE,SAFE,RESET,1,true", "SAFE,UNSAFE,RESET,1,false", "SAFE,UNSAFE,CONNECT_FAILED,1,true",
    "SAFE,KEYED,RESET,1,false", "SAFE,,RESET,1,true", "UNSAFE,SAFE,RESET,1,false",
    "KEYED,KEYED,RESET,8,true", "KEYED,KEYED-ALL-1,RESET,8,false", "KEYED,KEYED-ALL-1,RESET,1,true",
    "KEYED-ALL-1,KEYED-ALL-2,RESET,8,false", "KEYED,UNSAFE,RESET,1,false",
        "KEYED,SAFE,RESET,8,true",
    "KEYED-ALL-1,SAFE,RESET,8,false", "KEYED,,RESET,1,false", "KEYED,,FULL,1,true",
    "KEYED-ZONE,KEYED-CELL,RESET,1,false", "KEYED-ZONE,KEYED,RESET,1,true"
  })
  void pendingRequestIsRetriedOnlyIfTheOldAndTheNewClassPermitIt(
      String initialClass, String newClass, Outcome outcome, int tenths, boolean retried) {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE"), type(initialClass)));
    host.fullList(FakeHost.server(1, 0), FakeHost.server(2, 0));
    long id = host.request(1, 0);
    if (newClass == null) {
      applySettings(
          host, settings(0, 2, PERMITS, type("SAFE")), List.of(0, SettingsReload.REMOVED));
    } else { // another class takes the position of this class
      applySettings(host, settings(0, 2, PERMITS, type(newClass), type("SAFE")), List.of(1, 0));
    }
    host.advance(tenths * SECOND / 10);
    host.complete(id, 0, outcome, tenths * SECOND / 10);
    host.advance(SECOND / 10);
    assertEquals(retried ? 2 : 1, host.sends(id).size());
    host.advance(4 * SECOND);
    assertEquals(
        1,
        host.actions("fail", id).size() + host.actions("refuse", id).size(),
        "the request gets one response by its deadline");
    if (retried) {
      return;
    }
    // All servers drop the repeats of such a request, so a retry by the client is harmless.
    boolean repeatsAreDropped =
        initialClass.startsWith("KEYED")
            && !initialClass.contains("ZONE")
            && newClass != null
            && !newClass.equals("UNSAFE");
    assertEquals(
        repeatsAreDropped ? 0 : 1,
        host.actions("fail", id).size(),
        "a refusal would tell the client that a retry is harmless");
  }

  /**
   * Guards against a request that may no longer be retried but stays ahead of others in the queue
   * until its deadline.
   */
  @Test
  void queuedRequestThatMayNotBeRetriedFailsAtOnce() {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE")));
    host.fullList(FakeHost.server(1, 0));
    long id = host.request();
    host.complete(id, 0, Outcome.RESET, 1000);
    assertEquals(
        0,
        host.actions("fail", id).size(),
        "the request is queued because there is no other server");
    applySettings(host, settings(0, 2, PERMITS, type("UNSAFE")), List.of(0));
    assertEquals(1, host.actions("fail", id).size());
  }

  @Test
  void removedClassKeepsDeadlinesAndQueue() {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE"), type("UNSAFE"))).fullList();
    long queued = host.request(1, 0);
    long late = host.request(1, 0);
    RequestClass hasty = new RequestClass(1000, 0, 1000, Semantics.SAFE, Scope.ALL, 0, 1, 0, false);
    applySettings(host, settings(0, 2, PERMITS, hasty), List.of(0, SettingsReload.REMOVED));
    host.advance(SECOND);
    assertEquals(0, host.actions("refuse", queued).size());
    host.fullList(FakeHost.server(1, 0));
    assertEquals(2, host.sends(queued).size() + host.sends(late).size());
    host.complete(queued, 0, Outcome.OK, 1000);
    host.advance(2 * SECOND);
    assertEquals(1, host.actions("fail", late).size(), "the request keeps its own deadline");
  }

  /**
   * Checks that the learned response time of a class stays with the class when its position
   * changes. A queued request with less time left than the learned response time is rejected.
   */
  @Test
  void classStateFollowsItsName() {
    for (boolean swapped : new boolean[] {false, true}) {
      FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE"), type("SAFE")));
      host.fullList(FakeHost.server(1, 0));
      for (int i = 0; i < 60; i++) {
        host.serve(SECOND); // requests of class 0
      }
      applySettings(
          host,
          settings(0, 2, PERMITS, type("SAFE"), type("SAFE")),
          swapped ? List.of(1, 0) : List.of(0, 1));
      long[] sent = new long[2];
      for (int c = 0; c < 2; c++) {
        long id = 900L + c; // queued for 0.7 s; the 0.8 s left are too short for work of 1 s
        host.fullList();
        host.balancer.request(
            host.now, new Request(id, c, 0, 0, 0, host.now + SECOND + SECOND / 2, false, false));
        host.advance(SECOND * 7 / 10);
        host.fullList(FakeHost.server(2 + c, 0));
        sent[c] = host.sends(id).size();
      }
      assertEquals(swapped ? List.of(1L, 0L) : List.of(0L, 1L), List.of(sent[0], sent[1]));
    }
  }

  /**
   * Guards against confusing the zones of servers after zones change positions, also for a server
   * that has left the list.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void zonesThatChangePositionsKeepTheirServers(boolean removedFromList) {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("KEYED-ZONE-4")));
    host.fullList(FakeHost.server(1, 0));
    long id = host.request();
    host.complete(id, 0, Outcome.RESET, 1000);
    if (removedFromList) {
      host.fullList();
    }
    host.balancer.settings(
        host.now,
        new SettingsReload(
            settings(1, 2, PERMITS, type("KEYED-ZONE-4")), List.of(0), List.of(1, 0), List.of(0)));
    host.list(ListKind.DELTA, FakeHost.server(2, 0));
    host.advance(SECOND);
    assertEquals(1, host.sends(id).size(), "server 2 is in the other zone");
    host.list(ListKind.DELTA, FakeHost.server(3, 1));
    assertEquals(3, host.target(id));
    host.list(ListKind.DELTA, FakeHost.server(3, 1, Phase.GONE, 0));
    assertEquals(
        removedFromList ? 2 : 1,
        host.target(host.request()),
        "the local zone is still the zone of server 1");
  }

  @Test
  void reloadGrantsNoCreditToWarmingServer() {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE")));
    host.fullList(FakeHost.server(1, 0, Phase.READY, host.now));
    host.advance(3 * SECOND);
    int sent = sendsForRequests(30, host);
    assertTrue(sent > 0 && sent <= 2, "the server is in warm-up, requests sent: " + sent);
    for (int i = 0; i < 50; i++) {
      applySettings(host, settings(0, 2, PERMITS, type("SAFE")), List.of(0));
    }
    assertEquals(0, sendsForRequests(30, host));
    assertEquals(sent, host.actions("send").size(), "no queued request is sent");
  }

  @Test
  void longerWarmupTimeAppliesToServerInWarmup() {
    Settings s = settings(0, 2, PERMITS, type("SAFE"));
    Settings slow =
        new Settings(
            0,
            2,
            0,
            2,
            s.tick(),
            false,
            false,
            false,
            false,
            0.1,
            PERMITS,
            new Obligations(20_000, 500_000, 0.2, 60 * SECOND, 3, SECOND, 10 * SECOND),
            s.prices(),
            s.goal(),
            s.classes(),
            List.of(),
            List.of());
    for (Settings next : List.of(s, slow)) {
      FakeHost host =
          new FakeHost(s).fullList(FakeHost.server(1, 0, Phase.READY, FakeHost.SECOND * 100));
      applySettings(host, next, List.of(0));
      host.advance(22 * SECOND);
      assertEquals(
          next.equals(s),
          sendsForRequests(30, host) > 3,
          "the server is warm after 22 s only if the warm-up takes 20 s, not 60 s");
    }
  }

  private static int sendsForRequests(int requests, FakeHost host) {
    int before = host.actions("send").size();
    for (int i = 0; i < requests; i++) {
      host.request();
    }
    return host.actions("send").size() - before;
  }

  /**
   * Guards against a server that stays unhealthy because only a probe could restore it and probes
   * are no longer permitted.
   */
  @Test
  void reloadedProbePermissionResetsHealth() {
    Permits none = new Permits(4, false, true, false, false, SECOND);
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE")));
    host.fullList(FakeHost.server(1, 0), FakeHost.server(2, 1));
    for (int i = 0; i < 3; i++) {
      host.balancer.probed(host.now, 1, Outcome.TIMEOUT, 1000, new double[0]);
    }
    assertEquals(2, host.target(host.request()));
    applySettings(host, settings(0, 2, none, type("SAFE")), List.of(0));
    assertEquals(1, host.target(host.request()));
    host.advance(2 * SECOND);
    int before = host.actions("probe").size();
    host.advance(9 * SECOND);
    assertEquals(before, host.actions("probe").size());
    applySettings(host, settings(0, 2, PERMITS, type("SAFE")), List.of(0));
    host.advance(9 * SECOND);
    assertTrue(host.actions("probe").size() > before);
  }

  @Test
  void lowerAttemptLimitAppliesToPendingRequests() {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE")));
    host.fullList(FakeHost.server(1, 0), FakeHost.server(2, 0));
    long id = host.request();
    applySettings(
        host,
        settings(0, 2, new Permits(1, false, true, true, false, SECOND), type("SAFE")),
        List.of(0));
    host.complete(id, 0, Outcome.CONNECT_FAILED, 1000);
    assertEquals(1, host.sends(id).size());
    assertEquals(1, host.actions("refuse", id).size());
  }

  @Test
  void inconsistentReloadIsRejectedWithReason() {
    Settings one = settings(0, 2, PERMITS, type("SAFE"));
    FakeHost host = new FakeHost(one);
    LoadBalancer validating = new ValidatingLoadBalancer(one, 1, host.now, host);
    for (String[] invalid :
        new String[][] {
          {"0,0", "0,1", "classes: out of range or duplicate position 0"},
          {"1", "0,1", "classes: out of range or duplicate position 1"},
          {"0", "0,2", "zones: out of range or duplicate position 2"},
          {"0,-1", "0,1", "classes: 2 instead of 1"},
          {"0", "0", "zones: 1 instead of 2"},
          {"0", "1,0", "own zone: 0 instead of 1"}
        }) {
      assertEquals(
          invalid[2],
          assertThrows(
                  IllegalArgumentException.class,
                  () ->
                      validating.settings(
                          host.now,
                          new SettingsReload(
                              one, positions(invalid[0]), positions(invalid[1]), List.of())))
              .getMessage());
    }
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new SettingsReload(
                settings(0, 2, PERMITS), List.of(), unchangedPositions(2), List.of()));
    assertThrows(NullPointerException.class, () -> validating.settings(host.now, null));
    validating.settings(
        host.now,
        new SettingsReload(
            settings(0, 2, PERMITS, type("SAFE"), type("SAFE")),
            List.of(1),
            unchangedPositions(2),
            List.of()));
    validating.request(host.now, new Request(5, 1, 0, 0, 0, host.now + SECOND, false, false));
    assertThrows(
        IndexOutOfBoundsException.class,
        () ->
            validating.request(
                host.now, new Request(6, 2, 0, 0, 0, host.now + SECOND, false, false)));
  }

  private static List<Integer> positions(String text) {
    return Arrays.stream(text.split(",")).map(Integer::valueOf).toList();
  }
}
