package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Request;
import slateslip.loadbalancer.LoadBalancer.RequestClass;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.LoadBalancer.Settings;

/**
 * Mixes random settings reloads with random requests, server lists and outcomes of attempts; the
 * seed fixes the order.
 */
class RandomSettingsReloadTest {
  private static final List<Semantics> SEMANTICS = List.of(Semantics.values());
  private static final List<Scope> SCOPES = List.of(Scope.values());
  private static final long SECOND = FakeHost.SECOND;
  private static final int STEPS = 3_000;
  private static final int SERVERS = 8;

  /**
   * The checker's record of a request. Its types are the settings of its class since arrival, with
   * null after the class was removed.
   */
  private static final class TrackedRequest {
    final List<RequestClass> types = new ArrayList<>();
    final long deadline;
    String name;
    final List<Long> servers = new ArrayList<>();
    final List<Long> sentAt = new ArrayList<>();
    final List<Outcome> outcomes = new ArrayList<>();
    int responses;

    TrackedRequest(String name, long deadline) {
      this.name = name;
      this.deadline = deadline;
    }
  }

  private final Map<Long, TrackedRequest> requests = new HashMap<>();
  private final Map<Long, String> zoneOf = new HashMap<>();
  private List<String> classes = List.of("a", "b", "c", "d");
  private List<String> zones = List.of("x", "y", "z");
  private final Map<String, RequestClass> types = new HashMap<>();
  private int checkedActions;

  private static List<String> shuffled(SplittableRandom random, List<String> names) {
    List<String> order = new ArrayList<>();
    names.forEach(name -> order.add(random.nextInt(order.size() + 1), name));
    return order;
  }

  private Settings randomSettings(SplittableRandom random) {
    classes.forEach(
        name ->
            types.put(
                name,
                SettingsReloadTest.type(
                    SEMANTICS.get(random.nextInt(3)),
                    SCOPES.get(random.nextInt(3)),
                    SECOND + random.nextLong(2 * SECOND))));
    return SettingsReloadTest.settings(
        zones.indexOf("x"),
        zones.size(),
        SettingsReloadTest.PERMITS,
        classes.stream().map(types::get).toArray(RequestClass[]::new));
  }

  /**
   * Checks that each request gets one response and that no effect can happen twice, however classes
   * and zones change.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void rulesHoldAcrossReloadsAndEqualSeedsGiveEqualActions(long seed) {
    List<FakeHost.RecordedAction> first = run(seed);
    long sent = first.stream().filter(action -> action.name().equals("send")).count();
    assertTrue(sent > 100, "too few requests were sent: " + sent);
    assertEquals(first, new RandomSettingsReloadTest().run(seed));
  }

  private List<FakeHost.RecordedAction> run(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FakeHost host = new FakeHost(randomSettings(random), seed);
    for (int step = 0; step < STEPS; step++) {
      int eventKind = step < SERVERS ? 0 : random.nextInt(20);
      if (eventKind == 0) {
        listServer(host, random);
      } else if (eventKind < 3) {
        reload(host, random);
      } else if (eventKind < 12) {
        request(host, random, step);
      } else {
        for (long id = Math.max(0, step - 60); id < step; id++) {
          completeAttempts(host, random, id);
        }
      }
      check(host);
      host.advance(FakeHost.TICK);
      check(host);
    }
    for (int i = 0; i < 5 * SECOND / FakeHost.TICK; i++) {
      host.advance(FakeHost.TICK);
      check(host);
    }
    requests.forEach(
        (id, tracked) ->
            assertEquals(
                1,
                tracked.responses + (tracked.outcomes.contains(Outcome.OK) ? 1 : 0),
                "responses to request " + id));
    return List.copyOf(host.actions);
  }

  private void listServer(FakeHost host, SplittableRandom random) {
    long id = 1L + random.nextInt(SERVERS);
    String zone = zoneOf.computeIfAbsent(id, any -> List.of("x", "y", "z").get(random.nextInt(3)));
    host.list(
        ListKind.DELTA,
        new Server(
            id,
            zones.indexOf(zone),
            (int) id % 3,
            0,
            random.nextInt(9) == 0 ? Phase.GONE : Phase.READY,
            1,
            0));
  }

  private void reload(FakeHost host, SplittableRandom random) {
    List<String> before = classes;
    List<String> zonesBefore = zones;
    classes = shuffled(random, List.of("a", "b", "c", "d", "e")).subList(0, 1 + random.nextInt(5));
    zones =
        shuffled(random, List.of("x", "y", "z", "new")).stream()
            .filter(zone -> !zone.equals("new") || random.nextBoolean())
            .toList();
    Settings next = randomSettings(random);
    for (TrackedRequest tracked : requests.values()) {
      tracked.name = tracked.name != null && classes.contains(tracked.name) ? tracked.name : null;
      tracked.types.add(tracked.name == null ? null : types.get(tracked.name));
    }
    host.balancer.settings(
        host.now,
        new SettingsReload(
            next,
            SettingsReload.positions(before, classes),
            SettingsReload.positions(zonesBefore, zones),
            List.of(0)));
  }

  private void request(FakeHost host, SplittableRandom random, int id) {
    int position = random.nextInt(classes.size());
    String name = classes.get(position);
    TrackedRequest tracked =
        new TrackedRequest(name, host.now + 300_000 + random.nextLong(3 * SECOND));
    tracked.types.add(types.get(name));
    requests.put((long) id, tracked);
    host.balancer.request(
        host.now, new Request(id, position, 0, 0, 0, tracked.deadline, false, false));
  }

  private void completeAttempts(FakeHost host, SplittableRandom random, long id) {
    TrackedRequest tracked = requests.get(id);
    for (int a = 0; tracked != null && a < tracked.outcomes.size(); a++) {
      if (tracked.outcomes.get(a) == null && random.nextInt(3) == 0) {
        Outcome outcome =
            random.nextInt(4) > 0
                ? Outcome.OK
                : random.nextBoolean() ? Outcome.RESET : Outcome.CONNECT_FAILED;
        tracked.outcomes.set(a, outcome);
        host.balancer.outcome(
            host.now,
            id,
            a,
            tracked.servers.get(a),
            outcome,
            1000,
            tracked.responses > 0 || outcome == Outcome.OK,
            new double[0]);
        check(host);
      }
    }
  }

  private void check(FakeHost host) {
    for (; checkedActions < host.actions.size(); checkedActions++) {
      FakeHost.RecordedAction action = host.actions.get(checkedActions);
      TrackedRequest tracked = requests.get(action.id());
      if (action.name().equals("refuse") || action.name().equals("fail")) {
        assertEquals(0, tracked.responses);
        assertFalse(tracked.outcomes.contains(Outcome.OK));
        assertTrue(
            host.now <= tracked.deadline + 20_000,
            "the response is sent by the deadline plus the response slack of 20 ms");
        tracked.responses++;
        for (int a = 0; a < tracked.outcomes.size() && action.name().equals("refuse"); a++) {
          boolean mayHaveRun =
              tracked.outcomes.get(a) == null || !tracked.outcomes.get(a).neverRan();
          assertTrue(
              !mayHaveRun
                  || tracked.types.stream()
                      .allMatch(
                          type ->
                              type == null
                                  ? tracked.types.get(0).semantics() == Semantics.SAFE
                                  : type.semantics() == Semantics.SAFE
                                      || (type.semantics() == Semantics.KEYED
                                          && type.scope() == Scope.ALL)),
              "a request is refused only if a retry by the client is harmless");
        }
      } else if (action.name().equals("send")) {
        assertEquals(0, tracked.responses);
        assertFalse(tracked.outcomes.contains(Outcome.OK));
        for (int a = 0; a < tracked.outcomes.size(); a++) {
          assertTrue(tracked.outcomes.get(a) != null, "only one attempt is in flight");
          for (RequestClass type : tracked.types) {
            assertTrue(
                tracked.outcomes.get(a).neverRan() || permits(host, tracked, a, type, action),
                "every class since arrival permits the retry");
          }
        }
        tracked.servers.add(action.server());
        tracked.sentAt.add(host.now);
        tracked.outcomes.add(null);
      }
    }
  }

  /**
   * Returns whether a class that the request has had permits a retry after an attempt that may have
   * run.
   */
  private boolean permits(
      FakeHost host,
      TrackedRequest tracked,
      int attempt,
      RequestClass type,
      FakeHost.RecordedAction action) {
    long previousServer = tracked.servers.get(attempt);
    boolean inScope =
        type == null
            || type.scope() == Scope.ALL
            || (type.scope() == Scope.ZONE
                && zoneOf.get(previousServer).equals(zoneOf.get(action.server())))
            || (type.scope() == Scope.CELL && previousServer % 3 == action.server() % 3);
    boolean keyed = tracked.types.get(0).semantics() == Semantics.KEYED;
    return type == null
        ? tracked.types.get(0).semantics() == Semantics.SAFE
        : type.semantics() == Semantics.SAFE
            || (type.semantics() == Semantics.KEYED
                && keyed
                && inScope
                && host.now < tracked.sentAt.get(attempt) + type.window());
  }
}
