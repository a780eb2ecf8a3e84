package slateslip.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import slateslip.configuration.RoutingTable;
import slateslip.distribution.QuotaReport;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;
import slateslip.routing.health.BackendHealthMonitor;
import slateslip.routing.placement.Backend;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;
import slateslip.routing.quota.QuotaBounds;
import slateslip.routing.quota.QuotaDecision;
import slateslip.routing.quota.QuotaStatus;
import slateslip.routing.quota.TenantQuotas;
import slateslip.routing.retry.RetryBounds;

/** The router of one data plane. It tracks each request from its arrival to its final response. */
public final class FleetRouter implements RequestRouter {
  private final RouterSettings settings;
  private final long retryAfterMicros;
  private final long overdueMicros;
  private final BackendTable backends;
  private final KeyLease keyLease;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final PriorityQueue<PendingRequest> byDeadline =
      new PriorityQueue<>(Comparator.comparingLong(request -> request.deadlineMicros));
  private TenantQuotas quotas;
  private QuotaQueue quotaQueue;
  private Admission admission;
  private Dispatcher dispatcher;
  private OverdueAttempts overdueAttempts;
  private List<RouterOutput> outputs = new ArrayList<>();
  private RoutingTable table;
  private final WakeSchedule schedule = new WakeSchedule();

  /** Creates a router without a configuration and without backends. */
  public FleetRouter(RouterSettings settings) {
    this.settings = settings;
    RoutingPolicy policy = settings.policy();
    retryAfterMicros = policy.micros(RoutingParameter.RETRY_AFTER_MILLIS);
    overdueMicros = policy.micros(RoutingParameter.OVERDUE_MILLIS);
    this.backends = new BackendTable(settings.policy());
    this.keyLease = settings.keyLeaseRequired() ? KeyLease.required() : KeyLease.notRequired();
  }

  /**
   * Creates a router with the default retry and quota bounds, without a configuration and without
   * backends.
   *
   * @param zone the zone of this data plane
   * @param seed seed of the random choices
   */
  public FleetRouter(String zone, long seed) {
    this(new RouterSettings(zone, seed, RetryBounds.DEFAULT, QuotaBounds.DEFAULT));
  }

  @Override
  public List<RouterOutput> handle(long nowMicros, RouterInput input) {
    outputs = new ArrayList<>();
    if (quotas == null) {
      initialize(nowMicros);
    }
    apply(nowMicros, input);
    endExpiredRequests(nowMicros);
    if (schedule.checkDue(nowMicros)) {
      runChecks(nowMicros);
    }
    requestWake(nowMicros);
    return outputs;
  }

  /**
   * Requests a wake-up for the next request deadline or the next check, unless an earlier wake-up
   * is already requested.
   */
  private void requestWake(long now) {
    long nextDeadline = byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.peek().deadlineMicros;
    if (schedule.needsWake(now, nextDeadline)) {
      outputs.add(new RouterOutput.WakeAt(schedule.nextWakeMicros()));
    }
  }

  private void scheduleCheck(Backend backend) {
    schedule.checkAt(backends.nextCheckMicros(backend, quotas.dataPlanes()));
  }

  @Override
  public QuotaReport quotaReport(long nowMicros) {
    return quotas == null ? QuotaReport.EMPTY : quotas.report(nowMicros);
  }

  /**
   * Returns the state of all tenants' quotas at this data plane; {@link QuotaStatus#NONE} before
   * the first input.
   */
  public QuotaStatus quotaStatus(long nowMicros) {
    return quotas == null ? QuotaStatus.NONE : quotas.status(nowMicros);
  }

  private void initialize(long nowMicros) {
    int dataPlanes = (int) settings.policy().value(RoutingParameter.INITIAL_DATA_PLANES);
    quotas = new TenantQuotas(settings.quotas(), nowMicros, dataPlanes);
    quotaQueue = new QuotaQueue(quotas);
    admission = new Admission(quotas, keyLease, settings.heartbeatMicros());
    dispatcher =
        new Dispatcher(
            settings, backends, quotas, keyLease, nowMicros, output -> outputs.add(output));
    overdueAttempts =
        new OverdueAttempts(settings.policy(), dispatcher, schedule, output -> outputs.add(output));
  }

  private void apply(long now, RouterInput input) {
    if (input instanceof RouterInput.TableChanged changed) {
      table = changed.table();
      quotas.configure(table.configuration().tenants(), now);
      decideWaitingRequests(now);
    } else if (input instanceof RouterInput.BackendsChanged changed) {
      backends.replaceRegistrations(now, changed.backends());
      schedule.checkAt(backends.nextCheckMicros(quotas.dataPlanes()));
    } else if (input instanceof RouterInput.QuotaAllocationChanged changed) {
      quotas.applyAllocation(changed.allocation(), now);
      decideWaitingRequests(now);
    } else if (input instanceof RouterInput.KeyLeaseExtended extended) {
      keyLease.extendTo(extended.untilMicros());
    } else if (input instanceof RouterInput.RequestArrived arrived) {
      requestArrived(now, arrived);
    } else if (input instanceof RouterInput.ClientDisconnected gone) {
      clientGone(gone.request());
    } else if (input instanceof RouterInput.AttemptStarted started) {
      attemptStarted(now, started);
    } else if (input instanceof RouterInput.StreamIdle idle) {
      streamIdle(now, idle);
    } else if (input instanceof RouterInput.AttemptEnded ended) {
      attemptEnded(now, ended);
    } else if (input instanceof RouterInput.ProbeEnded ended) {
      backends.probeEnded(now, ended).ifPresent(this::scheduleCheck);
    }
  }

  private void requestArrived(long now, RouterInput.RequestArrived arrived) {
    Admission.Decision decision = admission.admit(now, table, arrived);
    if (decision instanceof Admission.Decision.Refused refused) {
      outputs.add(refused.respond());
      return;
    }
    if (decision instanceof Admission.Decision.Waiting waiting) {
      addPending(waiting.request());
      quotaQueue.add(waiting.request(), waiting.quotaWait());
      schedule.checkAt(waiting.quotaWait().untilMicros());
    } else if (decision instanceof Admission.Decision.Admitted admitted) {
      addPending(admitted.request());
      sendAdmitted(now, admitted.request());
    }
  }

  private void addPending(PendingRequest request) {
    pending.put(request.id, request);
    byDeadline.add(request);
  }

  private void sendAdmitted(long now, PendingRequest request) {
    dispatcher.assignService(now, request);
    send(now, request);
  }

  /** Sends or refuses the requests that waited for quota and can be decided now. */
  private void decideWaitingRequests(long now) {
    for (QuotaQueue.Decided decided : quotaQueue.reconsider(now)) {
      PendingRequest request = decided.request();
      if (decided.decision() instanceof QuotaDecision.Admitted admitted) {
        request.addCharge(admitted.charge());
        sendAdmitted(now, request);
      } else if (decided.decision() instanceof QuotaDecision.Refused refused) {
        outputs.add(new RouterOutput.Respond(request.id, 429, refused.retryAfterMicros()));
        finish(request);
      }
    }
  }

  private void send(long now, PendingRequest request) {
    Optional<AbortReason> failureReason = dispatcher.send(now, table, request);
    if (failureReason.isPresent()) {
      failRequest(request, failureReason.get());
    } else {
      schedule.checkAt(
          now
              + overdueMicros
              + request.attempts.get(request.attempts.size() - 1).expectedFirstEventMicros());
    }
  }

  /**
   * Ends a request that cannot be sent to another backend. If no backend can have run the request,
   * the client gets status 503 and may safely send it again. If a backend may have run it, the
   * client gets status 502. If the response has already begun, the connection is closed.
   */
  private void failRequest(PendingRequest request, AbortReason reason) {
    if (request.started) {
      outputs.add(new RouterOutput.AbortConnection(request.id, reason));
    } else if (request.mayHaveRun) {
      outputs.add(new RouterOutput.Respond(request.id, 502, 0));
    } else {
      boolean hasBackend = backends.hasAcceptingBackend(request.service);
      // Backends that have not registered yet do so with their next heartbeat.
      long wait = hasBackend ? retryAfterMicros : settings.heartbeatMicros();
      outputs.add(new RouterOutput.Respond(request.id, 503, wait));
    }
    finish(request);
  }

  private void attemptStarted(long now, RouterInput.AttemptStarted started) {
    PendingRequest request = pending.get(started.request());
    if (request != null) {
      request.started = true;
      Attempt attempt = request.attempts.get(started.attempt());
      attempt.start(now);
      BackendTable.recordLoad(now, attempt.backend(), started.load());
      cancelOthers(request, started.attempt());
    }
  }

  /** Cancels the other attempts of a request because one attempt delivers the response. */
  private void cancelOthers(PendingRequest request, int number) {
    for (int other = 0; other < request.attempts.size(); other++) {
      Attempt attempt = request.attempts.get(other);
      if (other == number || !attempt.active()) {
        continue;
      }
      if (other < number) {
        // The later attempt was sent because the backend of this attempt was unresponsive.
        attempt.cancelAsUnresponsive();
      } else {
        attempt.cancel();
      }
      outputs.add(new RouterOutput.CancelAttempt(request.id, other));
    }
  }

  private void streamIdle(long now, RouterInput.StreamIdle idle) {
    PendingRequest request = pending.get(idle.request());
    if (request != null && !request.responded && request.attempts.get(idle.attempt()).active()) {
      overdueAttempts.sendSecondAttempt(now, table, request);
    }
  }

  private void attemptEnded(long now, RouterInput.AttemptEnded ended) {
    PendingRequest request = pending.get(ended.request());
    if (request == null) {
      return;
    }
    Attempt attempt = request.attempts.get(ended.attempt());
    attempt.end(now);
    recordBackendHealth(now, attempt, ended);
    Kind kind = ended.outcome().kind();
    request.mayHaveRun |= ended.outcome().mayHaveRun();
    resolveCharge(now, request, attempt, ended.outcome().mayHaveRun());
    request.reachedBackend |= kind != Kind.NOT_SENT && kind != Kind.WITHHELD;
    request.lastEventId = Math.max(request.lastEventId, ended.lastEventId());
    if (kind.isExcludedFromAttemptLimit()) {
      request.countedAttempts--;
    }
    if (!request.responded) {
      handleOutcome(now, request, ended);
    }
    removeIfEnded(request);
  }

  private static void resolveCharge(
      long now, PendingRequest request, Attempt attempt, boolean mayHaveRun) {
    if (mayHaveRun || attempt.started()) {
      attempt.charge().commit(now);
    } else {
      request.addCharge(attempt.charge());
    }
  }

  private void handleOutcome(long now, PendingRequest request, RouterInput.AttemptEnded ended) {
    Kind kind = ended.outcome().kind();
    if (kind != Kind.SUCCESS && request.hasAttemptInFlight()) {
      return; // another attempt may still serve the request
    }
    switch (kind) {
      case SUCCESS -> {
        cancelAll(request);
        finish(request);
      }
      case ERROR_RESPONSE -> {
        if (request.started) {
          retryIfRepeatable(now, request);
        } else {
          outputs.add(new RouterOutput.RelayError(request.id, ended.attempt()));
          finish(request);
        }
      }
      case NOT_SENT, WITHHELD, NOT_EXECUTED, OTHER_INSTANCE -> {
        // The request was not run by this attempt. If an earlier attempt may have run it, the
        // request is repeatable.
        send(now, request);
      }
      case BROKEN, TIMEOUT, CANCELLED -> retryIfRepeatable(now, request);
    }
  }

  /** Sends a request that may have run again if it is repeatable, and fails it otherwise. */
  private void retryIfRepeatable(long now, PendingRequest request) {
    if (request.repeatable()) {
      send(now, request);
    } else {
      failRequest(request, AbortReason.NOT_REPEATABLE);
    }
  }

  private void recordBackendHealth(long now, Attempt attempt, RouterInput.AttemptEnded ended) {
    Backend backend = attempt.backend();
    BackendHealthMonitor healthMonitor = backend.healthMonitor();
    BackendTable.recordLoad(now, backend, ended.load());
    switch (ended.outcome().kind()) {
      case SUCCESS, ERROR_RESPONSE -> healthMonitor.requestSucceeded(now);
      case NOT_EXECUTED -> healthMonitor.activity(now);
      case OTHER_INSTANCE -> backend.replaced();
      case WITHHELD -> {} // the request was not sent, so the health of the backend is unchanged
      case NOT_SENT -> healthMonitor.connectFailed(now, backends.peers(backend));
      case BROKEN -> healthMonitor.requestBroken(now, backends.peers(backend));
      case TIMEOUT -> healthMonitor.timedOut(now, attempt.sentMicros(), backends.peers(backend));
      case CANCELLED -> {
        if (attempt.cancelledAsUnresponsive()) {
          healthMonitor.timedOut(now, attempt.sentMicros(), backends.peers(backend));
        }
      }
    }
    scheduleCheck(backend);
  }

  private void clientGone(long id) {
    PendingRequest request = pending.get(id);
    if (request != null && !request.responded) {
      cancelAll(request);
      finish(request);
    }
  }

  /** Ends the requests whose deadline has passed. */
  private void endExpiredRequests(long now) {
    while (!byDeadline.isEmpty()
        && (byDeadline.peek().responded || byDeadline.peek().deadlineMicros <= now)) {
      PendingRequest request = byDeadline.poll();
      if (!request.responded) {
        cancelAll(request);
        outputs.add(
            request.started
                ? new RouterOutput.AbortConnection(request.id, AbortReason.DEADLINE)
                : new RouterOutput.Respond(request.id, 504, 0));
        finish(request);
      }
    }
  }

  private void runChecks(long now) {
    schedule.checked(now);
    decideWaitingRequests(now);
    for (PendingRequest request : pending.values()) {
      if (!request.responded) {
        overdueAttempts.check(now, table, request);
      }
    }
    outputs.addAll(backends.takeDueProbes(now, quotas.dataPlanes()));
    schedule.checkAt(backends.nextCheckMicros(quotas.dataPlanes()));
  }

  private void cancelAll(PendingRequest request) {
    for (int number = 0; number < request.attempts.size(); number++) {
      Attempt attempt = request.attempts.get(number);
      if (attempt.active()) {
        attempt.cancel();
        outputs.add(new RouterOutput.CancelAttempt(request.id, number));
      }
    }
  }

  /** Marks a request as responded: its final response was sent, or its client has disconnected. */
  private void finish(PendingRequest request) {
    request.responded = true;
    quotaQueue.remove(request);
    removeIfEnded(request);
  }

  private void removeIfEnded(PendingRequest request) {
    if (request.responded && !request.hasAttemptInFlight()) {
      request.releaseUnusedCharge();
      pending.remove(request.id);
    }
  }
}
