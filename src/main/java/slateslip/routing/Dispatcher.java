package slateslip.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import slateslip.configuration.Route;
import slateslip.configuration.Route.WeightedService;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Service;
import slateslip.routing.placement.Backend;
import slateslip.routing.placement.Placement;
import slateslip.routing.policy.Mechanism;
import slateslip.routing.policy.RoutingPolicy;
import slateslip.routing.quota.QuotaCharge;
import slateslip.routing.quota.TenantQuotas;
import slateslip.routing.retry.RetryBounds;
import slateslip.routing.retry.RetryBudget;

/**
 * Sends requests to backends: chooses the service and the backend, and enforces quotas and retry
 * budgets.
 */
final class Dispatcher {
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * The idle timeout of a stream is this multiple of the route's longest expected pause between
   * events, and at least {@link #MIN_IDLE_TIMEOUT_MICROS}.
   */
  private static final long IDLE_TIMEOUT_GAPS = 4;

  private static final long MIN_IDLE_TIMEOUT_MICROS = 1_000_000;

  private final BackendTable backends;
  private final TenantQuotas quotas;
  private final KeyLease keyLease;
  private final RetryBounds retryBounds;
  private final long startMicros;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private final SplittableRandom random;
  private final Placement placement;
  private final RoutingPolicy policy;
  private final Consumer<RouterOutput> outputs;

  Dispatcher(
      RouterSettings settings,
      BackendTable backends,
      TenantQuotas quotas,
      KeyLease keyLease,
      long startMicros,
      Consumer<RouterOutput> outputs) {
    this.startMicros = startMicros;
    this.backends = backends;
    this.quotas = quotas;
    this.keyLease = keyLease;
    this.retryBounds = settings.retries();
    this.random = new SplittableRandom(settings.seed());
    this.policy = settings.policy();
    this.placement = new Placement(settings.zone(), random.split(), policy);
    this.outputs = outputs;
  }

  /**
   * Chooses the service of a request that was admitted and counts the request in the retry budget
   * of that service.
   */
  void assignService(long nowMicros, PendingRequest request) {
    request.service = chooseService(request.route);
    retryBudget(request.service).countRequest(nowMicros);
  }

  /**
   * Sends a request to a backend if one is available and all limits permit another attempt.
   *
   * @return empty if the request was sent; otherwise the reason why it was not sent
   */
  Optional<AbortReason> send(long nowMicros, RoutingTable table, PendingRequest request) {
    boolean retry = !request.attempts.isEmpty();
    if (!request.attemptsLeft() || (retry && !policy.uses(Mechanism.RETRIES))) {
      return Optional.of(AbortReason.ATTEMPTS_EXHAUSTED);
    }
    if (!applyCurrentConfiguration(nowMicros, table, request)) {
      return Optional.of(AbortReason.NOT_ALLOWED);
    }
    Service service = table.service(request.service).orElseThrow();
    Placement.Choice choice = chooseBackend(nowMicros, service, request);
    if (choice == null) {
      return Optional.of(AbortReason.NO_BACKEND);
    }
    QuotaCharge charge = chargeQuota(nowMicros, request);
    if (charge == null) {
      return Optional.of(AbortReason.QUOTA);
    }
    if (!chargeRetry(nowMicros, request)) {
      request.addCharge(charge);
      return Optional.of(AbortReason.RETRY_BUDGET);
    }
    int number = request.attempts.size();
    request.attempts.add(new Attempt(choice, charge, nowMicros));
    request.countedAttempts++;
    if (service.engine() != null) {
      choice
          .backend()
          .engine()
          .sent(
              request.attributes.prompt(),
              choice.newTokens(),
              choice.prefillMicros(),
              service.engine().cacheTokens(),
              quotas.dataPlanes(),
              nowMicros);
    }
    outputs.accept(
        new RouterOutput.SendAttempt(
            request.id,
            number,
            choice.backend().id(),
            Math.max(1, (request.deadlineMicros - nowMicros) / MICROS_PER_MILLI),
            0,
            idleTimeoutMicros(request),
            service.engine() == null ? RouterOutput.NO_PRIORITY : request.priority(),
            request.tenant == null ? null : request.tenant.name(),
            resumeAfter(request),
            new RouterOutput.Estimate(
                targetLatencyMicros(request),
                choice.expectedFirstEventMicros(),
                choice.candidates())));
    return Optional.empty();
  }

  /**
   * Charges an attempt to the tenant's quota.
   *
   * @return the charge; null if the quota has no capacity for another attempt
   */
  private QuotaCharge chargeQuota(long nowMicros, PendingRequest request) {
    QuotaCharge charge = request.takeCharge();
    return charge != null ? charge : quotas.takeForRetry(request.tenant, request.units, nowMicros);
  }

  private static long resumeAfter(PendingRequest request) {
    if (request.activeAttempts() > 1) {
      return RouterOutput.AFTER_LAST_EVENT;
    }
    return request.lastEventId >= 0 ? request.lastEventId : RouterOutput.AS_SENT;
  }

  /**
   * Returns whether the route permits another attempt and a trusted backend exists to which the
   * request has not been sent yet.
   */
  boolean hasTrustedAlternative(long nowMicros, PendingRequest request) {
    return request.attemptsLeft()
        && backends.ofService(request.service).stream()
            .anyMatch(
                backend ->
                    backend.acceptsRequests()
                        && backend.healthMonitor().trusted(nowMicros)
                        && !request.wasSentTo(backend));
  }

  /**
   * Charges a retry to the retry budget of the service. Nothing is charged if no backend has
   * received the request yet or if the retry was charged before.
   *
   * @return whether the request may be sent
   */
  boolean chargeRetry(long nowMicros, PendingRequest request) {
    if (!request.reachedBackend || request.retryCharged) {
      request.retryCharged = false;
      return true;
    }
    return retryBudget(request.service).tryCharge(nowMicros, quotas.dataPlanes());
  }

  /**
   * Returns the idle timeout of a resumable stream; 0 for other requests. The timeout leaves enough
   * time for another backend to resume the stream if the first one fails in the middle.
   */
  private static long idleTimeoutMicros(PendingRequest request) {
    if (!request.resumable()) {
      return 0;
    }
    long millis = IDLE_TIMEOUT_GAPS * request.route.targetGapMillis();
    return Math.max(MIN_IDLE_TIMEOUT_MICROS, millis * MICROS_PER_MILLI);
  }

  private static long targetLatencyMicros(PendingRequest request) {
    return request.route.targetLatencyMillis() * MICROS_PER_MILLI;
  }

  private Placement.Choice chooseBackend(long nowMicros, Service service, PendingRequest request) {
    List<Backend> ofService = backends.ofService(service.name());
    Placement.RequestProfile profile =
        new Placement.RequestProfile(
            service,
            request.attributes.prompt(),
            request.promptTokens(),
            targetLatencyMicros(request),
            quotas.dataPlanes());
    return placement.pick(nowMicros, profile, ofService, backend -> !request.wasSentTo(backend));
  }

  /**
   * Applies the current configuration to a request that is about to be sent: updates its route and,
   * if the route no longer targets its service, chooses another service.
   *
   * @return whether the configuration and the key lease still permit the request
   */
  private boolean applyCurrentConfiguration(
      long nowMicros, RoutingTable table, PendingRequest request) {
    Optional<Route> route = table.route(request.attributes.host(), request.attributes.path());
    if (route.isEmpty() || !Admission.isStillAllowed(table, route.get(), request)) {
      return false;
    }
    if (!route.get().isPublic() && table.requiresKeys() && !keyLease.isHeld(nowMicros)) {
      return false;
    }
    request.route = route.get();
    boolean targeted =
        request.route.targets().stream()
            .anyMatch(target -> target.weight() > 0 && target.service().equals(request.service));
    if (!targeted) {
      request.service = chooseService(request.route);
    }
    return true;
  }

  /**
   * Chooses a target of the route at random by weight. Targets without a backend that accepts
   * requests are excluded, unless no target with a positive weight would remain.
   */
  private String chooseService(Route route) {
    List<WeightedService> available =
        route.targets().stream()
            .filter(target -> backends.hasAcceptingBackend(target.service()))
            .toList();
    List<WeightedService> targets =
        available.stream().anyMatch(target -> target.weight() > 0) ? available : route.targets();
    int remaining = random.nextInt(targets.stream().mapToInt(WeightedService::weight).sum());
    for (WeightedService target : targets) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    throw new IllegalStateException("all target weights are zero in route " + route.name());
  }

  private RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service, name -> new RetryBudget(retryBounds, policy, startMicros));
  }
}
