package slateslip.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import slateslip.configuration.Route;
import slateslip.configuration.Route.WeightedService;
import slateslip.configuration.RouteKind;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Tenant;
import slateslip.distribution.BackendSession;
import slateslip.distribution.TenantDemand;
import slateslip.routing.RouterInput.AttemptOutcome;

/** The router of one data plane: life of each request, from its arrival to its one final answer. */
public final class FleetRouter implements RequestRouter {
  private static final long MICROS_PER_MILLI = 1_000;

  /** A stream is silent for too long after so many of its longest pauses, and this time at least. */
  private static final long SILENCE_GAPS = 3;

  private static final long SILENCE_LEAST_MICROS = 1_000_000;

  /** When a client that was turned away for want of a backend is asked to come back. */
  private static final long RETRY_AFTER_MICROS = 300_000;

  private final String zone;
  private final SplittableRandom random;
  private final Map<String, Backend> backends = new LinkedHashMap<>();
  private final Map<Long, OpenRequest> open = new HashMap<>();
  private final PriorityQueue<OpenRequest> byEnd =
      new PriorityQueue<>(Comparator.comparingLong(request -> request.endMicros));
  private List<RouterOutput> outputs = new ArrayList<>();
  private RoutingTable table;

  /**
   * A router that knows no configuration and no backend yet.
   *
   * @param zone the zone of this data plane
   * @param seed of its random choices
   */
  public FleetRouter(String zone, long seed) {
    this.zone = zone;
    this.random = new SplittableRandom(seed);
  }

  @Override
  public List<RouterOutput> handle(long nowMicros, RouterInput input) {
    outputs = new ArrayList<>();
    if (input instanceof RouterInput.TableChanged changed) {
      table = changed.table();
    } else if (input instanceof RouterInput.BackendsChanged changed) {
      backendsChanged(changed.backends());
    } else if (input instanceof RouterInput.RequestArrived arrived) {
      arrived(nowMicros, arrived);
    } else if (input instanceof RouterInput.ClientGone gone) {
      clientGone(gone.request());
    } else if (input instanceof RouterInput.AttemptStarted started) {
      attemptStarted(started.request());
    } else if (input instanceof RouterInput.AttemptEnded ended) {
      attemptEnded(nowMicros, ended);
    }
    expire(nowMicros);
    return outputs;
  }

  private void backendsChanged(List<BackendSession> sessions) {
    Set<String> present = new HashSet<>();
    for (BackendSession session : sessions) {
      present.add(session.id());
      backends.computeIfAbsent(session.id(), id -> new Backend(session)).session = session;
    }
    backends.values().forEach(backend -> backend.gone = !present.contains(backend.id()));
    backends.values().removeIf(backend -> backend.gone && backend.inFlight == 0);
  }

  private void arrived(long now, RouterInput.RequestArrived arrived) {
    RequestFacts facts = arrived.facts();
    if (table == null) {
      outputs.add(new RouterOutput.Answer(arrived.request(), 503, RETRY_AFTER_MICROS));
      return;
    }
    Optional<Route> route = table.route(facts.host(), facts.path());
    if (route.isEmpty()) {
      outputs.add(new RouterOutput.Answer(arrived.request(), 404, 0));
      return;
    }
    Tenant tenant =
        facts.credential() == null ? null : table.tenantByKey(facts.credential()).orElse(null);
    if (tenant == null && table.needsKeys() && !route.get().isPublic()) {
      outputs.add(new RouterOutput.Answer(arrived.request(), 401, 0));
      return;
    }
    accept(now, arrived.request(), facts, route.get(), tenant);
  }

  private void accept(long now, long id, RequestFacts facts, Route route, Tenant tenant) {
    long millis = route.timeoutMillis();
    if (facts.deadlineMillis() > 0) {
      millis = Math.min(millis, facts.deadlineMillis());
    }
    OpenRequest request =
        new OpenRequest(
            id, facts, route, chooseService(route), tenant, now, now + millis * MICROS_PER_MILLI);
    open.put(id, request);
    byEnd.add(request);
    outputs.add(new RouterOutput.WakeAt(request.endMicros));
    send(now, request);
  }

  private String chooseService(Route route) {
    int total = route.targets().stream().mapToInt(WeightedService::weight).sum();
    int drawn = random.nextInt(total);
    for (WeightedService target : route.targets()) {
      drawn -= target.weight();
      if (drawn < 0) {
        return target.service();
      }
    }
    throw new IllegalStateException("weights of route " + route.name() + " changed");
  }

  /** Sends it to a backend, or gives the final answer if there is none. */
  private void send(long now, OpenRequest request) {
    Backend backend =
        request.countedAttempts < request.route.maxAttempts() ? pick(request) : null;
    if (backend == null) {
      giveUp(request);
      return;
    }
    int attempt = request.attempts.size();
    request.attempts.add(new OpenRequest.Attempt(backend, now));
    request.tried.add(backend.id());
    request.countedAttempts++;
    backend.inFlight++;
    outputs.add(
        new RouterOutput.SendAttempt(
            request.id,
            attempt,
            backend.id(),
            Math.max(1, (request.endMicros - now) / MICROS_PER_MILLI),
            0,
            silenceTimeoutMicros(request),
            request.route.kind() == RouteKind.STREAMING
                ? Math.min(9, request.priority())
                : RouterOutput.NO_PRIORITY,
            request.tenant == null ? null : request.tenant.name(),
            request.lastEventId >= 0 ? request.lastEventId : RouterOutput.AS_SENT));
  }

  /** A backend that went dark in the middle of a stream is left in time for another to go on. */
  private static long silenceTimeoutMicros(OpenRequest request) {
    if (!request.resumable()) {
      return 0;
    }
    long millis = SILENCE_GAPS * request.route.gapAimMillis();
    return Math.max(SILENCE_LEAST_MICROS, millis * MICROS_PER_MILLI);
  }

  @Override
  public List<TenantDemand> demand() {
    return List.of();
  }

  private Backend pick(OpenRequest request) {
    Backend best = null;
    for (Backend backend : backends.values()) {
      boolean eligible =
          backend.registered()
              && backend.session.service().equals(request.service)
              && !request.tried.contains(backend.id());
      if (eligible && (best == null || better(backend, best))) {
        best = backend;
      }
    }
    return best;
  }

  private boolean better(Backend one, Backend other) {
    boolean oneNear = one.session.zone().equals(zone);
    boolean otherNear = other.session.zone().equals(zone);
    return oneNear == otherNear ? one.inFlight < other.inFlight : oneNear;
  }

  /** Nothing more can be tried: a promise if nothing has run, none otherwise. */
  private void giveUp(OpenRequest request) {
    if (request.started) {
      outputs.add(new RouterOutput.Break(request.id));
    } else if (request.mayHaveRun) {
      outputs.add(new RouterOutput.Answer(request.id, 502, 0));
    } else {
      outputs.add(new RouterOutput.Answer(request.id, 503, RETRY_AFTER_MICROS));
    }
    finish(request);
  }

  private void attemptStarted(long id) {
    OpenRequest request = open.get(id);
    if (request != null) {
      request.started = true;
    }
  }

  private void attemptEnded(long now, RouterInput.AttemptEnded ended) {
    OpenRequest request = open.get(ended.request());
    if (request == null) {
      return;
    }
    OpenRequest.Attempt attempt = request.attempts.get(ended.attempt());
    attempt.ended = true;
    attempt.backend.inFlight--;
    request.mayHaveRun |= ended.outcome().mayHaveRun();
    request.lastEventId = Math.max(request.lastEventId, ended.lastEventId());
    if (!request.answered) {
      decide(now, request, ended);
    }
    if (request.answered && !request.attemptOut()) {
      open.remove(request.id);
    }
  }

  private void decide(long now, OpenRequest request, RouterInput.AttemptEnded ended) {
    AttemptOutcome.Kind kind = ended.outcome().kind();
    switch (kind) {
      case SUCCESS -> finish(request);
      case ERROR_ANSWER -> {
        outputs.add(new RouterOutput.RelayError(request.id, ended.attempt()));
        finish(request);
      }
      case NOT_SENT -> {
        request.countedAttempts--;
        send(now, request);
      }
      case OTHER_INSTANCE -> {
        request.countedAttempts--;
        request.attempts.get(ended.attempt()).backend.gone = true;
        send(now, request);
      }
      case NOT_EXECUTED -> send(now, request);
      case BROKEN, TIMEOUT, CANCELLED -> {
        if (request.repeatable() && (!request.started || request.resumable())) {
          send(now, request);
        } else {
          giveUp(request);
        }
      }
    }
  }

  private void clientGone(long id) {
    OpenRequest request = open.get(id);
    if (request != null && !request.answered) {
      cancelAll(request);
      finish(request);
    }
  }

  /** Ends what has reached its time-out. */
  private void expire(long now) {
    while (!byEnd.isEmpty() && (byEnd.peek().answered || byEnd.peek().endMicros <= now)) {
      OpenRequest request = byEnd.poll();
      if (request.answered) {
        continue;
      }
      cancelAll(request);
      if (request.started) {
        outputs.add(new RouterOutput.Break(request.id));
      } else {
        outputs.add(new RouterOutput.Answer(request.id, 504, 0));
      }
      finish(request);
    }
  }

  private void cancelAll(OpenRequest request) {
    for (int i = 0; i < request.attempts.size(); i++) {
      if (!request.attempts.get(i).ended) {
        outputs.add(new RouterOutput.CancelAttempt(request.id, i));
      }
    }
  }

  private void finish(OpenRequest request) {
    request.answered = true;
    if (!request.attemptOut()) {
      open.remove(request.id);
    }
  }
}
