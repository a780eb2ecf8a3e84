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
 * Other settings while the module runs: what stays, what changes, and what an open request may
 * still do.
 */
class SettingsReloadTest {
  private static final long SECOND = FakeHost.SECOND;
  static final Permits PERMITS = new Permits(4, false, true, true, false, SECOND);

  static RequestClass type(Semantics semantics, Scope scope, long window) {
    return new RequestClass(2 * SECOND, 0, 4 * SECOND, semantics, scope, window, 1, 0, false);
  }

  private static RequestClass type(String word) {
    String[] parts = word.split("-", -1);
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

  private static List<Integer> same(int n) {
    return IntStream.range(0, n).boxed().toList();
  }

  private static void take(FakeHost host, Settings next, List<Integer> classes) {
    host.balancer.settings(host.now, new SettingsReload(next, classes, same(2), same(1)));
  }

  /**
   * One request is out when its class changes or goes; then its first attempt ends, and others are
   * there.
   */
  @ParameterizedTest
  @CsvSource({
    // taken as, then, first attempt ends, after tenths of a second, sent again
    "SAFE,SAFE,RESET,1,true", "SAFE,UNSAFE,RESET,1,false", "SAFE,UNSAFE,CONNECT_FAILED,1,true",
    "SAFE,KEYED,RESET,1,false", "SAFE,,RESET,1,true", "UNSAFE,SAFE,RESET,1,false",
    "KEYED,KEYED,RESET,8,true", "KEYED,KEYED-ALL-1,RESET,8,false", "KEYED,KEYED-ALL-1,RESET,1,true",
    "KEYED-ALL-1,KEYED-ALL-2,RESET,8,false", "KEYED,UNSAFE,RESET,1,false",
        "KEYED,SAFE,RESET,8,true",
    "KEYED-ALL-1,SAFE,RESET,8,false", "KEYED,,RESET,1,false", "KEYED,,FULL,1,true",
    "KEYED-ZONE,KEYED-CELL,RESET,1,false", "KEYED-ZONE,KEYED,RESET,1,true"
  })
  void anOpenRequestIsSentAgainOnlyWhereTheOldAndTheNewClassPermitIt(
      String taken, String then, Outcome outcome, int tenths, boolean again) {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE"), type(taken)));
    host.full(FakeHost.server(1, 0), FakeHost.server(2, 0));
    long id = host.request(1, 0);
    if (then == null) {
      take(host, settings(0, 2, PERMITS, type("SAFE")), List.of(0, SettingsReload.REMOVED));
    } else { // its place is taken by another
      take(host, settings(0, 2, PERMITS, type(then), type("SAFE")), List.of(1, 0));
    }
    host.pass(tenths * SECOND / 10);
    host.end(id, 0, outcome, tenths * SECOND / 10);
    host.pass(SECOND / 10);
    assertEquals(again ? 2 : 1, host.sends(id).size());
    host.pass(4 * SECOND);
    assertEquals(
        1, host.of("fail", id).size() + host.of("refuse", id).size(), "one answer, in time");
    if (again) {
      return;
    }
    boolean dropped =
        taken.startsWith("KEYED")
            && !taken.contains("ZONE")
            && then != null
            && !then.equals("UNSAFE"); // by every server, so a client's repeat is harmless
    assertEquals(dropped ? 0 : 1, host.of("fail", id).size(), "a refusal would ask for a repeat");
  }

  /** Guards against its standing before others in the queue until its time is up. */
  @Test
  void queuedRequestWithoutRetryIsAnsweredAtOnce() {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE")));
    host.full(FakeHost.server(1, 0));
    long id = host.request();
    host.end(id, 0, Outcome.RESET, 1000);
    assertEquals(0, host.of("fail", id).size(), "held: there is no other server");
    take(host, settings(0, 2, PERMITS, type("UNSAFE")), List.of(0));
    assertEquals(1, host.of("fail", id).size());
  }

  @Test
  void removedClassKeepsDeadlinesAndQueue() {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE"), type("UNSAFE"))).full();
    long queued = host.request(1, 0);
    long late = host.request(1, 0);
    RequestClass hasty = new RequestClass(1000, 0, 1000, Semantics.SAFE, Scope.ALL, 0, 1, 0, false);
    take(host, settings(0, 2, PERMITS, hasty), List.of(0, SettingsReload.REMOVED));
    host.pass(SECOND);
    assertEquals(0, host.of("refuse", queued).size());
    host.full(FakeHost.server(1, 0));
    assertEquals(2, host.sends(queued).size() + host.sends(late).size());
    host.end(queued, 0, Outcome.OK, 1000);
    host.pass(2 * SECOND);
    assertEquals(1, host.of("fail", late).size(), "at its own time");
  }

  /**
   * A class's learned time, by which a request that comes too late for it is rejected, goes by its
   * name.
   */
  @Test
  void classStateFollowsItsName() {
    for (boolean swapped : new boolean[] {false, true}) {
      FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE"), type("SAFE")));
      host.full(FakeHost.server(1, 0));
      for (int i = 0; i < 60; i++) {
        host.serve(SECOND); // of class 0
      }
      take(
          host,
          settings(0, 2, PERMITS, type("SAFE"), type("SAFE")),
          swapped ? List.of(1, 0) : List.of(0, 1));
      long[] sent = new long[2];
      for (int c = 0; c < 2; c++) {
        long id = 900L + c; // held for a moment, then too late for a second's work
        host.full();
        host.balancer.request(
            host.now, new Request(id, c, 0, 0, 0, host.now + SECOND + SECOND / 2, false, false));
        host.pass(SECOND * 7 / 10);
        host.full(FakeHost.server(2 + c, 0));
        sent[c] = host.sends(id).size();
      }
      assertEquals(swapped ? List.of(1L, 0L) : List.of(0L, 1L), List.of(sent[0], sent[1]));
    }
  }

  /**
   * Guards against the zone of one server being taken for another's, also where the list has
   * forgotten it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void zonesThatChangePlacesKeepTheirServers(boolean forgotten) {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("KEYED-ZONE-4")));
    host.full(FakeHost.server(1, 0));
    long id = host.request();
    host.end(id, 0, Outcome.RESET, 1000);
    if (forgotten) {
      host.full();
    }
    host.balancer.settings(
        host.now,
        new SettingsReload(
            settings(1, 2, PERMITS, type("KEYED-ZONE-4")), List.of(0), List.of(1, 0), List.of(0)));
    host.list(ListKind.DELTA, FakeHost.server(2, 0));
    host.pass(SECOND);
    assertEquals(1, host.sends(id).size(), "server 2 is in the other zone");
    host.list(ListKind.DELTA, FakeHost.server(3, 1));
    assertEquals(3, host.target(id));
    host.list(ListKind.DELTA, FakeHost.server(3, 1, Phase.GONE, 0));
    assertEquals(
        forgotten ? 2 : 1, host.target(host.request()), "the own zone is where server 1 is");
  }

  @Test
  void reloadDoesNotGrantWarmingServer() {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE")));
    host.full(FakeHost.server(1, 0, Phase.READY, host.now));
    host.pass(3 * SECOND);
    int sent = sentOf(30, host);
    assertTrue(sent > 0 && sent <= 2, "it is cold: " + sent);
    for (int i = 0; i < 50; i++) {
      take(host, settings(0, 2, PERMITS, type("SAFE")), List.of(0));
    }
    assertEquals(0, sentOf(30, host));
    assertEquals(sent, host.all("send").size(), "nor of those held");
  }

  @Test
  void aLongerWarmUpHoldsForAServerThatIsCold() {
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
          new FakeHost(s).full(FakeHost.server(1, 0, Phase.READY, FakeHost.SECOND * 100));
      take(host, next, List.of(0));
      host.pass(22 * SECOND);
      assertEquals(next.equals(s), sentOf(30, host) > 3, "warm after 20 s or 60 s");
    }
  }

  private static int sentOf(int requests, FakeHost host) {
    int before = host.all("send").size();
    for (int i = 0; i < requests; i++) {
      host.request();
    }
    return host.all("send").size() - before;
  }

  /** Guards against a server that only a probe could have made available again. */
  @Test
  void reloadedProbePermissionResetsHealth() {
    Permits none = new Permits(4, false, true, false, false, SECOND);
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE")));
    host.full(FakeHost.server(1, 0), FakeHost.server(2, 1));
    for (int i = 0; i < 3; i++) {
      host.balancer.probed(host.now, 1, Outcome.TIMEOUT, 1000, new double[0]);
    }
    assertEquals(2, host.target(host.request()));
    take(host, settings(0, 2, none, type("SAFE")), List.of(0));
    assertEquals(1, host.target(host.request()));
    host.pass(2 * SECOND);
    int before = host.all("probe").size();
    host.pass(9 * SECOND);
    assertEquals(before, host.all("probe").size());
    take(host, settings(0, 2, PERMITS, type("SAFE")), List.of(0));
    host.pass(9 * SECOND);
    assertTrue(host.all("probe").size() > before);
  }

  @Test
  void fewerAttemptsHoldForRequestsThatAreOpen() {
    FakeHost host = new FakeHost(settings(0, 2, PERMITS, type("SAFE")));
    host.full(FakeHost.server(1, 0), FakeHost.server(2, 0));
    long id = host.request();
    take(
        host,
        settings(0, 2, new Permits(1, false, true, true, false, SECOND), type("SAFE")),
        List.of(0));
    host.end(id, 0, Outcome.CONNECT_FAILED, 1000);
    assertEquals(1, host.sends(id).size());
    assertEquals(1, host.of("refuse", id).size());
  }

  @Test
  void settingsThatDoNotFitAreNamed() {
    Settings one = settings(0, 2, PERMITS, type("SAFE"));
    FakeHost host = new FakeHost(one);
    LoadBalancer checked = new ValidatingLoadBalancer(one, 1, host.now, host);
    for (String[] wrong :
        new String[][] {
          {"0,0", "0,1", "classes: out of range or duplicate position 0"},
          {"1", "0,1", "classes: out of range or duplicate position 1"},
          {"0", "0,2", "zones: out of range or duplicate position 2"},
          {"0,-1", "0,1", "classes: 2 instead of 1"},
          {"0", "0", "zones: 1 instead of 2"},
          {"0", "1,0", "own zone: 0 instead of 1"}
        }) {
      assertEquals(
          wrong[2],
          assertThrows(
                  IllegalArgumentException.class,
                  () ->
                      checked.settings(
                          host.now,
                          new SettingsReload(one, numbers(wrong[0]), numbers(wrong[1]), List.of())))
              .getMessage());
    }
    assertThrows(
        IllegalArgumentException.class,
        () -> new SettingsReload(settings(0, 2, PERMITS), List.of(), same(2), List.of()));
    assertThrows(NullPointerException.class, () -> checked.settings(host.now, null));
    checked.settings(
        host.now,
        new SettingsReload(
            settings(0, 2, PERMITS, type("SAFE"), type("SAFE")), List.of(1), same(2), List.of()));
    checked.request(host.now, new Request(5, 1, 0, 0, 0, host.now + SECOND, false, false));
    assertThrows(
        IndexOutOfBoundsException.class,
        () ->
            checked.request(host.now, new Request(6, 2, 0, 0, 0, host.now + SECOND, false, false)));
  }

  private static List<Integer> numbers(String text) {
    return Arrays.stream(text.split(",")).map(Integer::valueOf).toList();
  }
}
