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
import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.RequestClass;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.LoadBalancer.Tenant;

/**
 * Sends valid events in a random order to load balancers with random settings. Checks the rules on
 * final responses, retries and draining servers after each event, and that equal seeds give equal
 * actions. The outcomes of attempts are random; the test does not model servers.
 */
class RandomRunTest {
  private static final List<Phase> PHASES = List.of(Phase.values());
  private static final List<Outcome> OUTCOMES = List.of(Outcome.values());
  private static final long SECOND = FakeHost.SECOND;

  /** The checker's record of a request and of its attempts. */
  private static final class TrackedRequest {
    final RequestClass type;
    final long deadline;
    final List<Long> servers = new ArrayList<>();
    final List<Long> sentAt = new ArrayList<>();
    final List<Outcome> outcomes = new ArrayList<>();
    int responses;
    boolean clientGone;

    TrackedRequest(RequestClass type, long deadline) {
      this.type = type;
      this.deadline = deadline;
    }

    boolean mayHaveRun(int attempt) {
      return outcomes.get(attempt) == null || !outcomes.get(attempt).neverRan();
    }
  }

  private final Map<Long, TrackedRequest> requests = new HashMap<>();
  private final Map<Long, Server> listed = new HashMap<>();
  private FakeHost host;
  private Permits permits;
  private int checkedActions;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void rulesHoldAndEqualSeedsGiveEqualActions(long seed) {
    List<FakeHost.RecordedAction> first = run(seed);
    long sent = first.stream().filter(a -> a.name().equals("send")).count();
    assertTrue(sent > 100, "too few requests were sent: " + sent);
    requests.clear();
    listed.clear();
    checkedActions = 0;
    assertEquals(first, run(seed));
  }

  private List<FakeHost.RecordedAction> run(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<RequestClass> classes = new ArrayList<>();
    for (Semantics semantics : Semantics.values()) {
      for (Scope scope : Scope.values()) {
        classes.add(
            new RequestClass(
                SECOND / 2 + random.nextLong(SECOND),
                random.nextInt(2),
                4 * SECOND,
                semantics,
                scope,
                SECOND,
                1 + random.nextInt(5),
                random.nextInt(2) * 0.3,
                false));
      }
    }
    permits =
        new Permits(
            1 + random.nextInt(5),
            random.nextBoolean(),
            random.nextBoolean(),
            random.nextBoolean(),
            random.nextBoolean(),
            random.nextBoolean() ? SECOND : 0);
    int zones = 1 + random.nextInt(5);
    host =
        new FakeHost(
            FakeHost.settings(
                classes,
                permits,
                zones,
                1 + random.nextInt(9),
                random.nextBoolean(),
                random.nextBoolean(),
                List.of(new Tenant(10, 0.5), new Tenant(10, 0.5))),
            seed);
    for (int step = 0; step < 4000; step++) {
      step(random, classes, zones);
      check();
      host.advance(FakeHost.TICK);
      check();
    }
    for (long end = host.now + 7 * SECOND; host.now < end; ) {
      host.advance(FakeHost.TICK);
      check();
    }
    for (Map.Entry<Long, TrackedRequest> e : requests.entrySet()) {
      TrackedRequest tracked = e.getValue();
      boolean served = tracked.outcomes.contains(Outcome.OK);
      assertTrue(
          tracked.clientGone || (served && tracked.responses == 0) || tracked.responses == 1,
          "responses to request " + e.getKey());
    }
    return List.copyOf(host.actions);
  }

  private void step(SplittableRandom random, List<RequestClass> classes, int zones) {
    int eventKind = random.nextInt(20);
    if (eventKind == 0) {
      Server server =
          new Server(
              1 + random.nextInt(8),
              random.nextInt(zones),
              random.nextInt(3),
              0,
              PHASES.get(Math.max(0, random.nextInt(8) - 5)),
              1,
              random.nextInt(9) == 0 ? host.now : 0);
      Server before = listed.get(server.id());
      if (before != null) { // the zone and the cell of a server never change
        server =
            new Server(
                server.id(),
                before.zone(),
                before.cell(),
                0,
                server.phase(),
                1,
                server.startedAt());
      }
      listed.put(server.id(), server);
      host.list(ListKind.DELTA, server);
    } else if (eventKind == 1) {
      host.balancer.probed(
          host.now,
          1 + random.nextInt(8),
          OUTCOMES.get(Math.max(0, random.nextInt(20) - 16)),
          1000,
          new double[0]);
    } else if (eventKind == 2) {
      host.list(ListKind.FAILED);
    } else if (eventKind < 10) {
      int c = random.nextInt(classes.size());
      long deadline = host.now + 300_000 + random.nextLong(3 * SECOND);
      long id = 1_000_000L + requests.size();
      requests.put(id, new TrackedRequest(classes.get(c), deadline));
      host.balancer.request(
          host.now,
          new LoadBalancer.Request(
              id,
              c,
              random.nextInt(2),
              random.nextInt(5),
              random.nextInt(50_000),
              deadline,
              random.nextInt(5) == 0,
              false));
    } else {
      List<Long> ids = new ArrayList<>(requests.keySet());
      ids.sort(null);
      for (int i = Math.max(0, ids.size() - 40); i < ids.size(); i++) {
        completeAttempts(random, ids.get(i));
      }
    }
  }

  private void completeAttempts(SplittableRandom random, long id) {
    TrackedRequest tracked = requests.get(id);
    int roll = random.nextInt(60);
    if (roll == 0 && tracked.responses == 0 && !tracked.outcomes.contains(Outcome.OK)) {
      tracked.clientGone = true;
      host.balancer.clientLeft(host.now, id);
      check();
    }
    for (int a = 0; a < tracked.outcomes.size(); a++) {
      if (tracked.outcomes.get(a) == null && roll < 20) {
        Outcome outcome = OUTCOMES.get(Math.max(0, random.nextInt(40) - 32));
        boolean closed = tracked.clientGone || tracked.responses > 0 || outcome == Outcome.OK;
        tracked.outcomes.set(a, outcome);
        host.balancer.outcome(
            host.now, id, a, tracked.servers.get(a), outcome, 1000, closed, new double[0]);
        check();
      }
    }
  }

  /** Checks the actions recorded since the last check. */
  private void check() {
    for (; checkedActions < host.actions.size(); checkedActions++) {
      FakeHost.RecordedAction action = host.actions.get(checkedActions);
      TrackedRequest tracked = requests.get(action.id());
      switch (action.name()) {
        case "send" -> checkSend(action, tracked);
        case "refuse", "fail" -> {
          assertEquals(0, tracked.responses, "a request has at most one final response");
          assertFalse(
              tracked.clientGone || tracked.outcomes.contains(Outcome.OK),
              "a request that has ended needs no response");
          assertTrue(
              host.now <= tracked.deadline + 20_000,
              "the response is sent by the deadline plus the response slack of 20 ms");
          tracked.responses++;
          for (int a = 0; a < tracked.outcomes.size() && action.name().equals("refuse"); a++) {
            boolean harmless =
                tracked.type.semantics() == Semantics.SAFE
                    || !tracked.mayHaveRun(a)
                    || (tracked.type.semantics() == Semantics.KEYED
                        && tracked.type.scope() == Scope.ALL);
            assertTrue(harmless, "a request is refused only if a retry by the client is harmless");
          }
        }
        case "cancel" -> assertTrue(permits.cancel(), "attempts are cancelled only if permitted");
        case "probe" -> assertTrue(permits.probes(), "probes are sent only if permitted");
        default -> {}
      }
    }
  }

  private void checkSend(FakeHost.RecordedAction action, TrackedRequest tracked) {
    assertEquals(0, tracked.responses, "no attempt is sent after the final response");
    assertFalse(
        tracked.clientGone || tracked.outcomes.contains(Outcome.OK),
        "no attempt is sent after the end of the request");
    assertEquals(Phase.READY, listed.get(action.server()).phase());
    assertTrue(
        tracked.outcomes.size() < permits.maxAttempts(),
        "the number of attempts is within the limit");
    for (int a = 0; a < tracked.outcomes.size(); a++) {
      if (tracked.outcomes.get(a) == null) {
        assertTrue(
            permits.duplicates() && tracked.type.semantics() == Semantics.SAFE,
            "two attempts are in flight only if duplicates are permitted and the request is safe");
      }
      if (tracked.mayHaveRun(a)) {
        assertTrue(
            tracked.type.semantics() != Semantics.UNSAFE,
            "an unsafe request that may have run is not retried");
        if (tracked.type.semantics() == Semantics.KEYED) {
          assertTrue(
              host.now < tracked.sentAt.get(a) + tracked.type.window(),
              "a keyed request is retried only within its window");
          Server old = listed.get(tracked.servers.get(a));
          Server next = listed.get(action.server());
          assertTrue(
              tracked.type.scope() == Scope.ALL
                  || (tracked.type.scope() == Scope.ZONE && old.zone() == next.zone())
                  || (tracked.type.scope() == Scope.CELL && old.cell() == next.cell()),
              "a keyed request is retried only inside the scope of its class");
        }
      }
    }
    tracked.servers.add(action.server());
    tracked.sentAt.add(host.now);
    tracked.outcomes.add(null);
  }
}
