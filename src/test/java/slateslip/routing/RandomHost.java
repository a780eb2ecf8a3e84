package slateslip.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import slateslip.configuration.Route;
import slateslip.configuration.RouteKind;
import slateslip.configuration.RoutingTable;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;
import slateslip.routing.RouterInput.ProbeOutcome;

/**
 * A simulated host that executes the outputs of a router with seeded random results. It checks the
 * invariants: each request gets exactly one final response, requests run at most once unless they
 * are repeatable, and attempts go only to registered backends.
 */
final class RandomHost {
  static final long SECOND = 1_000_000;

  private record Event(long atMicros, long order, RouterInput input) {}

  private static final class TrackedRequest {
    Route route;
    long arrivedMicros;
    int finalResponses;
    boolean clientGone;
    boolean started;
    boolean mayHaveRun;
    int reachedBackends;
    final Map<Integer, String> attemptsInFlight = new HashMap<>();
  }

  final FleetRouter router;
  final Map<String, List<Long>> firstArrivals = new HashMap<>();
  final Map<String, List<Long>> retries = new HashMap<>();
  final List<Integer> statuses = new ArrayList<>();
  private final RoutingTable table = Fixtures.table();
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));
  private final Map<Long, TrackedRequest> requests = new HashMap<>();
  private final Map<String, BackendSession> registered = new HashMap<>();
  private final Map<String, Kind> forcedOutcomes = new HashMap<>();
  private long order;
  private long nextRequest;
  private long now;

  RandomHost(long seed, int dataPlanes) {
    random = new Random(seed);
    router = new FleetRouter("z0", seed);
    for (int i = 0; i < 6; i++) {
      add(Fixtures.backend("m" + i, Fixtures.MODEL_SERVICE, "z" + i % 3));
      add(Fixtures.backend("l" + i, Fixtures.LOG_SERVICE, "z" + i % 3));
    }
    feed(new RouterInput.TableChanged(table));
    feed(new RouterInput.QuotaAllocationChanged(new QuotaAllocation(dataPlanes, List.of())));
    sendRegistrations();
  }

  private void add(BackendSession session) {
    registered.put(session.id(), session);
  }

  void sendRegistrations() {
    feed(new RouterInput.BackendsChanged(List.copyOf(registered.values())));
  }

  /** Sets the result of all later attempts at a backend; null restores random results. */
  void forceOutcome(String id, Kind kind) {
    if (kind == null) {
      forcedOutcomes.remove(id);
    } else {
      forcedOutcomes.put(id, kind);
    }
  }

  void drain(String id) {
    registered.computeIfPresent(id, (key, session) -> Fixtures.draining(session));
    sendRegistrations();
  }

  void remove(String id) {
    registered.remove(id);
    sendRegistrations();
  }

  /** Sends requests at this rate on random routes until this time. */
  void runLoad(double perSecond, long until) {
    while (now < until) {
      long next = now + 1 + (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond);
      runUntil(Math.min(next, until));
      if (now < until) {
        request();
      }
    }
  }

  /** Runs until all requests must have ended, and checks that each got one final response. */
  void runToCompletion() {
    runUntil(now + 20 * SECOND);
    requests.forEach(
        (id, tracked) -> {
          if (!tracked.clientGone) {
            assertThat("final responses of request " + id, tracked.finalResponses, is(1));
          }
        });
  }

  long now() {
    return now;
  }

  private void request() {
    String path = List.of("/s/x", "/n/x", "/w/x", "/i/x").get(random.nextInt(4));
    TrackedRequest tracked = new TrackedRequest();
    tracked.route = table.route(Fixtures.HOST, path).orElseThrow();
    tracked.arrivedMicros = now;
    long id = nextRequest++;
    requests.put(id, tracked);
    String service = tracked.route.targets().get(0).service();
    firstArrivals.computeIfAbsent(service, name -> new ArrayList<>()).add(now);
    List<RequestAttributes.PromptPart> prompt =
        path.startsWith("/s/")
            ? List.of(
                new RequestAttributes.PromptPart(random.nextInt(20), 10_000),
                new RequestAttributes.PromptPart(1_000 + id, 3_000))
            : List.of();
    feed(new RouterInput.RequestArrived(id, Fixtures.attributes(path, Fixtures.KEY, prompt)));
    if (random.nextInt(50) == 0) {
      schedule(random.nextInt(300_000), new RouterInput.ClientDisconnected(id));
    }
  }

  private void runUntil(long until) {
    while (!events.isEmpty() && events.peek().atMicros() <= until) {
      Event event = events.poll();
      now = event.atMicros();
      deliver(event.input());
    }
    now = until;
  }

  private void deliver(RouterInput input) {
    if (input instanceof RouterInput.AttemptEnded ended) {
      TrackedRequest tracked = requests.get(ended.request());
      if (tracked.attemptsInFlight.remove(ended.attempt()) == null) {
        return; // the attempt was cancelled before
      }
      tracked.mayHaveRun |= ended.outcome().mayHaveRun();
      if (ended.outcome().kind() == Kind.SUCCESS && !tracked.clientGone) {
        finalResponse(ended.request(), tracked);
      }
    } else if (input instanceof RouterInput.AttemptStarted started) {
      TrackedRequest tracked = requests.get(started.request());
      if (!tracked.attemptsInFlight.containsKey(started.attempt())) {
        return;
      }
      tracked.started = true;
    } else if (input instanceof RouterInput.ClientDisconnected gone) {
      TrackedRequest tracked = requests.get(gone.request());
      if (tracked.finalResponses > 0) {
        return;
      }
      tracked.clientGone = true;
    }
    feed(input);
  }

  private void feed(RouterInput input) {
    router.handle(now, input).forEach(this::execute);
  }

  private void execute(RouterOutput output) {
    if (output instanceof RouterOutput.SendAttempt send) {
      sendAttempt(send);
    } else if (output instanceof RouterOutput.Respond response) {
      respond(response);
    } else if (output instanceof RouterOutput.RelayError relay) {
      finalResponse(relay.request(), requests.get(relay.request()));
    } else if (output instanceof RouterOutput.AbortConnection abort) {
      finalResponse(abort.request(), requests.get(abort.request()));
    } else if (output instanceof RouterOutput.CancelAttempt cancel) {
      schedule(0, ended(cancel.request(), cancel.attempt(), Kind.CANCELLED));
    } else if (output instanceof RouterOutput.Probe probe) {
      probe(probe.backendId());
    } else if (output instanceof RouterOutput.WakeAt wake) {
      schedule(Math.max(0, wake.atMicros() - now), new RouterInput.Wake());
    }
  }

  private void sendAttempt(RouterOutput.SendAttempt send) {
    TrackedRequest tracked = requests.get(send.request());
    // A resumable stream may have a second attempt while the first one is silent.
    int permittedInFlight = tracked.route.resumable() ? 1 : 0;
    assertThat(
        "attempts in flight before the new one",
        tracked.attemptsInFlight.size(),
        lessThanOrEqualTo(permittedInFlight));
    assertThat("final responses before the attempt", tracked.finalResponses, is(0));
    boolean mayRepeat =
        (tracked.route.kind() == RouteKind.IDEMPOTENT && !tracked.started)
            || tracked.route.resumable();
    assertThat(
        "a request that must not repeat is sent after it may have run",
        !mayRepeat && tracked.mayHaveRun,
        is(false));
    BackendSession backend = registered.get(send.backendId());
    assertThat(
        "the backend is registered and not draining",
        backend != null && !backend.draining(),
        is(true));
    String service = tracked.route.targets().get(0).service();
    assertThat(backend.service(), is(service));
    if (tracked.reachedBackends > 0) {
      retries.computeIfAbsent(service, name -> new ArrayList<>()).add(now);
    }
    tracked.attemptsInFlight.put(send.attempt(), send.backendId());
    Kind kind = forcedOutcomes.getOrDefault(send.backendId(), randomOutcome());
    boolean reached = kind != Kind.NOT_SENT && kind != Kind.OTHER_INSTANCE;
    tracked.reachedBackends += reached ? 1 : 0;
    assertThat(tracked.reachedBackends, lessThanOrEqualTo(tracked.route.maxAttempts()));
    scheduleOutcome(send, kind);
  }

  private Kind randomOutcome() {
    int drawn = random.nextInt(100);
    if (drawn < 85) {
      return Kind.SUCCESS;
    }
    return List.of(Kind.ERROR_RESPONSE, Kind.NOT_EXECUTED, Kind.NOT_SENT, Kind.BROKEN, Kind.TIMEOUT)
        .get(drawn % 5);
  }

  private void scheduleOutcome(RouterOutput.SendAttempt send, Kind kind) {
    long first = 20_000L + random.nextInt(300_000);
    long complete = first + random.nextInt(900_000);
    boolean starts = kind == Kind.SUCCESS || (kind == Kind.BROKEN && random.nextBoolean());
    switch (kind) {
      case NOT_SENT, NOT_EXECUTED, OTHER_INSTANCE ->
          schedule(2_000, ended(send.request(), send.attempt(), kind));
      case TIMEOUT -> schedule(15 * SECOND, ended(send.request(), send.attempt(), kind));
      default -> {
        if (starts) {
          schedule(first, new RouterInput.AttemptStarted(send.request(), send.attempt(), null));
        }
        schedule(complete, ended(send.request(), send.attempt(), kind));
      }
    }
  }

  private void probe(String backendId) {
    Kind kind = forcedOutcomes.get(backendId);
    ProbeOutcome outcome = kind == null ? ProbeOutcome.HEALTHY : ProbeOutcome.UNREACHABLE;
    if (kind == Kind.TIMEOUT) {
      schedule(SECOND, new RouterInput.ProbeEnded(backendId, ProbeOutcome.TIMEOUT, null));
    } else {
      schedule(2_000, new RouterInput.ProbeEnded(backendId, outcome, null));
    }
  }

  private void respond(RouterOutput.Respond response) {
    TrackedRequest tracked = requests.get(response.request());
    statuses.add(response.status());
    boolean refused = response.status() == 503 || response.status() == 429;
    boolean runsOnce = tracked.route.kind() != RouteKind.IDEMPOTENT && !tracked.route.resumable();
    if (refused && runsOnce) {
      assertThat("refused as not run although it may have run", tracked.mayHaveRun, is(false));
      assertThat(
          "attempts in flight when refused as not run", tracked.attemptsInFlight.size(), is(0));
    }
    if (refused) {
      assertThat("a refusal has a Retry-After time", response.retryAfterMicros() > 0, is(true));
    }
    assertThat("refused after the response began", tracked.started, is(false));
    finalResponse(response.request(), tracked);
  }

  private void finalResponse(long id, TrackedRequest tracked) {
    assertThat("final response after the client disconnected", tracked.clientGone, is(false));
    tracked.finalResponses++;
    assertThat("final responses of request " + id, tracked.finalResponses, is(1));
    long elapsedMicros = now - tracked.arrivedMicros;
    assertThat(
        "time from arrival to the final response",
        elapsedMicros,
        lessThanOrEqualTo(8 * SECOND + 50_000));
  }

  private static RouterInput ended(long request, int attempt, Kind kind) {
    int status = kind == Kind.SUCCESS ? 200 : kind == Kind.ERROR_RESPONSE ? 500 : 0;
    return new RouterInput.AttemptEnded(
        request, attempt, new AttemptOutcome(kind, status), null, -1);
  }

  private void schedule(long delayMicros, RouterInput input) {
    events.add(new Event(now + delayMicros, order++, input));
  }

  /**
   * Returns the largest excess of retries over the retry bounds in any window, over several hosts;
   * 0 or less if the bounds hold.
   */
  static double maxRetriesOverBudget(List<RandomHost> hosts, String service) {
    List<Long> all = new ArrayList<>();
    List<Long> retried = new ArrayList<>();
    for (RandomHost host : hosts) {
      all.addAll(host.firstArrivals.getOrDefault(service, List.of()));
      retried.addAll(host.retries.getOrDefault(service, List.of()));
    }
    all.sort(null);
    retried.sort(null);
    double maxExcess = Double.NEGATIVE_INFINITY;
    for (long end : retried) {
      long start = end - 10 * SECOND;
      long requests = countWithin(all, start, end);
      long extra = countWithin(retried, start, end);
      maxExcess = Math.max(maxExcess, extra - (0.2 * requests + 52));
    }
    assertThat(statusesOf(hosts), everyItem(is(true)));
    return maxExcess;
  }

  /** Returns how many of the sorted times are after the start and not after the end. */
  private static int countWithin(List<Long> sorted, long start, long end) {
    return countUpTo(sorted, end) - countUpTo(sorted, start);
  }

  private static int countUpTo(List<Long> sorted, long end) {
    int low = 0;
    int high = sorted.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (sorted.get(middle) <= end) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private static List<Boolean> statusesOf(List<RandomHost> hosts) {
    return hosts.stream()
        .flatMap(host -> host.statuses.stream())
        .map(status -> List.of(429, 502, 503, 504).contains(status))
        .toList();
  }
}
