package slateslip.experiment.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateslip.configuration.Route;
import slateslip.configuration.RouteKind;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Service;
import slateslip.configuration.Tenant;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaReport;
import slateslip.routing.AbortReason;
import slateslip.routing.RequestAttributes;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.routing.RequestRouter;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterOutput;

/**
 * A router that only selects backends, without quotas, retry budgets or health checks. Experiments
 * use this router to compare {@link PlacementPolicy placement policies} without the effects of
 * those mechanisms.
 */
public final class PolicyRouter implements RequestRouter {
  private static final double PREFILL_TOKENS_PER_MILLI = 63.9;
  private static final long RETRY_AFTER_MICROS = 300_000;

  private final String zone;
  private final PlacementPolicy policy;
  private final Map<String, BackendState> backends = new LinkedHashMap<>();
  private final Map<Long, PendingRequest> openRequests = new HashMap<>();
  private List<RouterOutput> outputs = new ArrayList<>();
  private List<BackendSession> sessions = List.of();
  private RoutingTable table;

  /**
   * Creates a router of a data plane in the given zone that selects backends according to the
   * policy.
   */
  public PolicyRouter(String zone, PlacementPolicy policy) {
    this.zone = zone;
    this.policy = policy;
  }

  @Override
  public List<RouterOutput> handle(long nowMicros, RouterInput input) {
    outputs = new ArrayList<>();
    if (input instanceof RouterInput.TableChanged changed) {
      table = changed.table();
      updateBackends();
    } else if (input instanceof RouterInput.BackendsChanged changed) {
      sessions = changed.backends();
      updateBackends();
    } else if (input instanceof RouterInput.RequestArrived arrived) {
      requestArrived(nowMicros, arrived);
    } else if (input instanceof RouterInput.ClientDisconnected gone) {
      clientGone(gone.request());
    } else if (input instanceof RouterInput.AttemptStarted started) {
      attemptStarted(started);
    } else if (input instanceof RouterInput.AttemptEnded ended) {
      attemptEnded(nowMicros, ended);
    } else if (input instanceof RouterInput.Wake) {
      expire(nowMicros);
    }
    return outputs;
  }

  @Override
  public QuotaReport quotaReport(long nowMicros) {
    return QuotaReport.EMPTY;
  }

  private void updateBackends() {
    if (table == null) {
      return;
    }
    Set<String> present = new HashSet<>();
    for (BackendSession session : sessions) {
      present.add(session.id());
      backends
          .computeIfAbsent(session.id(), id -> new BackendState(session, cacheCapacity(session)))
          .session(session);
    }
    backends.keySet().retainAll(present);
  }

  private long cacheCapacity(BackendSession session) {
    return table
        .service(session.service())
        .map(Service::engine)
        .map(Service.Engine::cacheTokens)
        .orElse(0L);
  }

  private void requestArrived(long nowMicros, RouterInput.RequestArrived arrived) {
    RequestAttributes attributes = arrived.attributes();
    Route route =
        table == null ? null : table.route(attributes.host(), attributes.path()).orElse(null);
    if (route == null) {
      outputs.add(new RouterOutput.Respond(arrived.request(), 503, RETRY_AFTER_MICROS));
      return;
    }
    Tenant tenant = table.tenantByKey(attributes.credential()).orElseThrow();
    long timeoutMillis = Math.min(route.timeoutMillis(), attributes.deadlineMillis());
    PendingRequest request =
        new PendingRequest(
            arrived.request(), attributes, route, tenant, nowMicros + timeoutMillis * 1_000);
    openRequests.put(request.id, request);
    outputs.add(new RouterOutput.WakeAt(request.deadlineMicros));
    send(nowMicros, request);
  }

  private void send(long nowMicros, PendingRequest request) {
    BackendState backend =
        request.tried.size() < request.route.maxAttempts() ? pick(request) : null;
    if (backend == null) {
      abandon(request);
      return;
    }
    request.backend = backend;
    request.attemptStarted = false;
    request.tried.add(backend.session().id());
    request.uncachedTokens = uncachedTokens(backend, request);
    backend.attemptSent(request.attributes.prompt(), request.uncachedTokens);
    outputs.add(
        new RouterOutput.SendAttempt(
            request.id,
            request.attempts++,
            backend.session().id(),
            Math.max(1, (request.deadlineMicros - nowMicros) / 1_000),
            0,
            0,
            request.route.priority(),
            request.tenant.name(),
            request.lastEventId >= 0 ? request.lastEventId : RouterOutput.AS_SENT));
  }

  private BackendState pick(PendingRequest request) {
    request.assumedCacheHolders.clear();
    List<BackendState> eligible = eligible(request, policy.ownZoneOnly());
    if (eligible.isEmpty()) {
      eligible = eligible(request, false);
    }
    long part = lastSharedPartId(request.attributes.prompt());
    eligible.sort(
        Comparator.comparingLong(
            (BackendState backend) -> rendezvous(part, backend.session().id())));
    eligible.stream()
        .limit(policy.assumedCachedBackends())
        .forEach(request.assumedCacheHolders::add);
    double mean = eligible.stream().mapToInt(BackendState::inFlight).average().orElse(0);
    List<BackendState> choices = new ArrayList<>();
    for (BackendState backend : eligible) {
      boolean limited = policy.limitFactor() > 0;
      if (!limited || backend.inFlight() <= policy.limitFactor() * mean + 1) {
        choices.add(backend);
      }
    }
    if (policy.choices() > 0 && choices.size() > policy.choices()) {
      choices = choices.subList(0, policy.choices());
    }
    return choices.stream()
        .min(Comparator.comparingDouble(backend -> cost(backend, request)))
        .orElse(eligible.isEmpty() ? null : eligible.get(0));
  }

  private List<BackendState> eligible(PendingRequest request, boolean ownZone) {
    List<BackendState> result = new ArrayList<>();
    for (BackendState backend : backends.values()) {
      BackendSession session = backend.session();
      boolean serves = session.service().equals(request.service()) && !session.draining();
      boolean zoneMatches = !ownZone || session.zone().equals(zone);
      if (serves && zoneMatches && !request.tried.contains(session.id())) {
        result.add(backend);
      }
    }
    return result;
  }

  private double cost(BackendState backend, PendingRequest request) {
    double prefillMillis = uncachedTokens(backend, request) / PREFILL_TOKENS_PER_MILLI;
    double pendingMillis = backend.pendingTokens() / PREFILL_TOKENS_PER_MILLI;
    double zoneCost = backend.session().zone().equals(zone) ? 0 : policy.otherZoneMillis();
    return zoneCost
        + policy.prefillWeight() * prefillMillis
        + policy.pendingWeight() * pendingMillis
        + policy.waitingMillis() * backend.waiting()
        + policy.runningMillis() * backend.loadEstimate();
  }

  private long uncachedTokens(BackendState backend, PendingRequest request) {
    List<PromptPart> prompt = request.attributes.prompt();
    if (request.assumedCacheHolders.contains(backend) && !prompt.isEmpty()) {
      return prompt.get(prompt.size() - 1).tokens();
    }
    return backend.uncachedTokens(prompt);
  }

  private static long lastSharedPartId(List<PromptPart> prompt) {
    return prompt.size() < 2 ? 0 : prompt.get(prompt.size() - 2).id();
  }

  private static long rendezvous(long part, String backendId) {
    long mixed = part * 0x9e3779b97f4a7c15L + backendId.hashCode() * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  private void attemptStarted(RouterInput.AttemptStarted started) {
    PendingRequest request = openRequests.get(started.request());
    if (request != null && !request.attemptStarted) {
      request.attemptStarted = true;
      request.responseStarted = true;
      request.backend.attemptStarted(request.uncachedTokens);
    }
  }

  private void attemptEnded(long nowMicros, RouterInput.AttemptEnded ended) {
    PendingRequest request = openRequests.get(ended.request());
    if (request == null) {
      return;
    }
    request.backend.attemptEnded(request.attemptStarted, request.uncachedTokens);
    request.backend.load(ended.load());
    request.lastEventId = Math.max(request.lastEventId, ended.lastEventId());
    request.mayHaveRun |= ended.outcome().mayHaveRun();
    switch (ended.outcome().kind()) {
      case SUCCESS -> openRequests.remove(request.id);
      case ERROR_RESPONSE -> {
        outputs.add(new RouterOutput.RelayError(request.id, ended.attempt()));
        openRequests.remove(request.id);
      }
      case NOT_SENT, WITHHELD, OTHER_INSTANCE, NOT_EXECUTED -> send(nowMicros, request);
      case BROKEN, TIMEOUT, CANCELLED -> {
        if (request.repeatable()) {
          send(nowMicros, request);
        } else {
          abandon(request);
        }
      }
      default -> throw new IllegalStateException("unknown outcome");
    }
  }

  private void abandon(PendingRequest request) {
    openRequests.remove(request.id);
    if (request.responseStarted) {
      outputs.add(new RouterOutput.AbortConnection(request.id, AbortReason.NO_BACKEND));
    } else if (request.mayHaveRun) {
      outputs.add(new RouterOutput.Respond(request.id, 502, 0));
    } else {
      outputs.add(new RouterOutput.Respond(request.id, 503, RETRY_AFTER_MICROS));
    }
  }

  private void clientGone(long id) {
    PendingRequest request = openRequests.remove(id);
    if (request != null) {
      cancelAttempt(request);
    }
  }

  private void expire(long nowMicros) {
    for (PendingRequest request : List.copyOf(openRequests.values())) {
      if (request.deadlineMicros <= nowMicros) {
        openRequests.remove(request.id);
        cancelAttempt(request);
        outputs.add(
            request.responseStarted
                ? new RouterOutput.AbortConnection(request.id, AbortReason.DEADLINE)
                : new RouterOutput.Respond(request.id, 504, 0));
      }
    }
  }

  private void cancelAttempt(PendingRequest request) {
    request.backend.attemptEnded(request.attemptStarted, request.uncachedTokens);
    outputs.add(new RouterOutput.CancelAttempt(request.id, request.attempts - 1));
  }

  /** A request that has not been completed yet. */
  private static final class PendingRequest {
    private final long id;
    private final RequestAttributes attributes;
    private final Route route;
    private final Tenant tenant;
    private final long deadlineMicros;
    private final Set<String> tried = new HashSet<>();
    private final Set<BackendState> assumedCacheHolders = new HashSet<>();
    private BackendState backend;
    private long uncachedTokens;
    private int attempts;
    private long lastEventId = -1;
    private boolean attemptStarted;
    private boolean responseStarted;
    private boolean mayHaveRun;

    PendingRequest(
        long id, RequestAttributes attributes, Route route, Tenant tenant, long deadlineMicros) {
      this.id = id;
      this.attributes = attributes;
      this.route = route;
      this.tenant = tenant;
      this.deadlineMicros = deadlineMicros;
    }

    String service() {
      return route.targets().get(0).service();
    }

    boolean repeatable() {
      return route.kind() == RouteKind.IDEMPOTENT
          || (route.kind() == RouteKind.STREAMING && route.resumable());
    }
  }
}
