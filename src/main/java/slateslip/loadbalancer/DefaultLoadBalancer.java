// The interface of this module (its types, events and actions) is in LoadBalancer.java.
package slateslip.loadbalancer;

import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateslip.loadbalancer.PendingRequest.Attempt;
import slateslip.loadbalancer.policy.RetryTokenBucket;

/**
 * Handles the requests and events of one agent's load balancer. {@link RetryEligibility} decides
 * whether a request may be retried, {@link EndpointSelector} which server gets a request, {@link
 * Admission} how many requests a server may have in flight, {@link EndpointHealthChecker} which
 * servers are available, {@link SlowStart} how many requests a server gets during its warm-up, and
 * {@link ClassPriorities} which request class is served first.
 */
public final class DefaultLoadBalancer implements LoadBalancer {

  /** Retry tokens that each request earns, so that retries cannot multiply an overload. */
  private static final double RETRY_BUDGET_RATIO = 0.2;

  /** Capacity of the retry token bucket: enough to retry the requests of one failed server. */
  private static final double MAX_RETRY_TOKENS = 10;

  /** Interval between attempts to send the queued requests, in ticks of the host. */
  private static final int SWEEP_TICKS = 4;

  /** Token of the timer for the next probe. */
  static final long TIMER_PROBE = -1;

  private static final long TIMER_SWEEP = -2;
  static final long TIMER_POLL_DISCOVERY = -3;

  private final LoadBalancerContext context;
  private final RequestClasses classes;
  private final LatencyTracker latencies = new LatencyTracker();
  private final WarmServiceRates warmRates;
  private final SlowStart slowStart;
  private final SubsetSizer subset;
  private final EndpointHealthChecker health;
  private final Admission admission;
  private final EndpointSelector selector;
  private final ClassPriorities priorities;
  private final DiscoveryPoller discovery;
  private final RetryAfterAdvice retryAfterAdvice;
  private final RetryTokenBucket retryTokens =
      new RetryTokenBucket(RETRY_BUDGET_RATIO, MAX_RETRY_TOKENS);
  private final QueueReport queueReport = new QueueReport();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Map<Long, PendingRequest> pendingByToken = new HashMap<>();
  private long nextToken;
  private boolean sweepScheduled;

  /** Creates a balancer without learned state; the seed determines its random choices. */
  public DefaultLoadBalancer(Settings settings, long seed, long now, Actions actions) {
    this.context = new LoadBalancerContext(settings, seed, actions);
    this.classes = new RequestClasses(context);
    this.warmRates = new WarmServiceRates(context);
    this.slowStart = new SlowStart(context, warmRates);
    this.subset = new SubsetSizer(context);
    this.health = new EndpointHealthChecker(context, slowStart, subset);
    this.admission = new Admission(context, latencies, slowStart, health);
    this.selector = new EndpointSelector(context, health, admission, latencies, slowStart, subset);
    this.priorities = new ClassPriorities(context, classes, now);
    this.discovery = new DiscoveryPoller(context);
    this.retryAfterAdvice = new RetryAfterAdvice(context, classes);
    if (settings.pollDiscovery()) {
      discovery.start();
    }
  }

  @Override
  public void request(long now, Request request) {
    RequestClassState state = classes.current().get(request.requestClass());
    RequestClass type = state.type;
    long latencyTarget =
        type.latencyTarget() + (long) (type.latencyTargetPerCost() * request.cost());
    long elapsed = state.elapsedBeforeArrival(request, now, context.settings.tick());
    // Work for a response that is too late is wasted. If the request is not marked as a retry, its
    // lateness is only inferred (the client may use short deadlines), and the request is still
    // served unless others are queued.
    boolean alreadyLate =
        elapsed > 0
            && type.lateValueFraction() == 0
            && latencyTarget - elapsed < state.latencies.value();
    long timeLeft = alreadyLate && !request.repeated() ? latencyTarget : latencyTarget - elapsed;
    long latestEnd = request.deadline() - context.settings.tick();
    long endAt =
        type.lateValueFraction() > 0
            ? latestEnd
            : Math.min(latestEnd, now + timeLeft - context.settings.tick());
    PendingRequest pendingRequest = new PendingRequest(request, state, nextToken++, now, endAt);
    pending.put(request.id(), pendingRequest);
    pendingByToken.put(pendingRequest.token, pendingRequest);
    context.actions.timer(pendingRequest.token, Math.max(0, endAt - now));
    state.recordArrival(request);
    subset.requestArrived(state.unloadedLatency);
    retryTokens.earn();
    if (alreadyLate && (request.repeated() || classes.hasQueued())) {
      finish(pendingRequest, now);
    } else {
      dispatchOrQueue(pendingRequest, now);
    }
  }

  /** Sends an attempt if the history permits one and a server has capacity; false if not sent. */
  private boolean dispatch(PendingRequest pendingRequest, long now) {
    if (pendingRequest.attempts.size() >= context.settings.permits().maxAttempts()
        || now >= pendingRequest.endAt) {
      return false;
    }
    Endpoint target = selector.select(pendingRequest, now);
    if (target == null) {
      return false;
    }
    pendingRequest.queued = false;
    pendingRequest.attempts.add(new Attempt(target, now));
    target.inFlight++;
    target.warmupSpent++;
    context.actions.send(
        pendingRequest.request.id(),
        target.id,
        pendingRequest.type.streaming() ? 0 : pendingRequest.endAt - now);
    return true;
  }

  private void dispatchOrQueue(PendingRequest pendingRequest, long now) {
    if (!dispatch(pendingRequest, now)) {
      pendingRequest.queued = true;
      pendingRequest.state.queued.addLast(pendingRequest);
      scheduleSweep();
    }
  }

  private void scheduleSweep() {
    if (!sweepScheduled && classes.hasQueued()) {
      sweepScheduled = true;
      context.actions.timer(TIMER_SWEEP, SWEEP_TICKS * context.settings.tick());
    }
  }

  /**
   * Sends the queued requests, the newest of each class first. With the oldest first, a long queue
   * would delay each request until just too late, and servers would work for unused responses.
   */
  private void dispatchQueued(long now) {
    for (RequestClassState state : classes.byPriority()) {
      Deque<PendingRequest> queue = state.queued;
      while (!queue.isEmpty()
          && (!queue.peekFirst().queued || cannotFinishInTime(queue.peekFirst(), now))) {
        PendingRequest oldest = queue.pollFirst();
        if (oldest.queued) {
          finish(oldest, now);
        }
      }
      while (!queue.isEmpty() && (!queue.peekLast().queued || dispatch(queue.peekLast(), now))) {
        queue.pollLast();
      }
      // Requests that have waited long enough may cross zones, the newest of them first: the oldest
      // have too little time left.
      for (var newest = queue.descendingIterator(); newest.hasNext(); ) {
        PendingRequest pendingRequest = newest.next();
        if (pendingRequest.queued
            && now - pendingRequest.arrivedAt >= selector.crossZoneDelay(pendingRequest)
            && !dispatch(pendingRequest, now)) {
          break;
        }
      }
    }
  }

  private void logQueue(long now) {
    long queued = pending.values().stream().filter(each -> each.queued).count();
    if (queued > 0 && queueReport.due(now)) {
      context.actions.log(
          QueueReport.line(
              now,
              queued,
              context.listed,
              context.settings.zone(),
              each -> health.available(each, now)));
    }
  }

  /** Returns whether the expected response is later than the request's latest useful time. */
  private boolean cannotFinishInTime(PendingRequest pendingRequest, long now) {
    return now + (long) pendingRequest.state.latencies.value() > pendingRequest.endAt;
  }

  @Override
  public void outcome(
      long now,
      long request,
      int attempt,
      long server,
      Outcome outcome,
      long elapsed,
      boolean closed,
      double[] load) {
    PendingRequest pendingRequest = pending.get(request);
    if (pendingRequest == null
        || attempt >= pendingRequest.attempts.size()
        || pendingRequest.attempts.get(attempt).outcome != null) {
      return; // the request is complete, or this outcome was reported before
    }
    Attempt ended = pendingRequest.attempts.get(attempt);
    ended.outcome = outcome;
    ended.endpoint.inFlight--;
    context.servers.dropIfUnused(ended.endpoint);
    admission.recordOutcome(pendingRequest, ended.endpoint, outcome, elapsed, now);
    if (closed) {
      close(pendingRequest);
    }
    if (!pendingRequest.closed && pendingRequest.attemptsInFlight() == 0) {
      retryOrFinish(pendingRequest, now);
    }
    if (pendingRequest.closed && pendingRequest.attemptsInFlight() == 0) {
      pending.remove(request);
    }
    dispatchQueued(now);
  }

  /** Retries after a failed attempt if permitted and within the budget, else ends the request. */
  private void retryOrFinish(PendingRequest pendingRequest, long now) {
    if (!cannotFinishInTime(pendingRequest, now)
        && mayRetry(pendingRequest, now)
        && retryTokens.permits()) {
      retryTokens.spend();
      dispatchOrQueue(pendingRequest, now);
    } else {
      finish(pendingRequest, now);
    }
  }

  private boolean mayRetry(PendingRequest pendingRequest, long now) {
    return pendingRequest.attempts.size() < context.settings.permits().maxAttempts()
        && RetryEligibility.maySend(pendingRequest, context.settings.permits(), now);
  }

  /** Ends a request that no server served: refuses where a refusal is permitted, else fails. */
  private void finish(PendingRequest pendingRequest, long now) {
    if (pendingRequest.closed) {
      return;
    }
    cancelAll(pendingRequest);
    if (!pendingRequest.request.repeated()) {
      pendingRequest.state.unservedWait +=
          LatencyTracker.EWMA_WEIGHT
              * (now - pendingRequest.arrivedAt - pendingRequest.state.unservedWait);
    }
    if (RetryEligibility.mayRefuse(pendingRequest)) {
      context.actions.refuse(
          pendingRequest.request.id(), retryAfterAdvice.micros(pendingRequest, now));
    } else {
      context.actions.fail(pendingRequest.request.id());
    }
    close(pendingRequest);
  }

  private void cancelAll(PendingRequest pendingRequest) {
    for (int i = 0;
        i < pendingRequest.attempts.size() && context.settings.permits().cancel();
        i++) {
      if (pendingRequest.attempts.get(i).outcome == null) {
        context.actions.cancel(pendingRequest.request.id(), i);
      }
    }
  }

  private void close(PendingRequest pendingRequest) {
    pendingRequest.closed = true;
    pendingRequest.queued = false;
    pendingByToken.remove(pendingRequest.token);
    if (pendingRequest.attemptsInFlight() == 0) {
      pending.remove(pendingRequest.request.id());
    }
  }

  @Override
  public void clientLeft(long now, long request) {
    PendingRequest pendingRequest = pending.get(request);
    if (pendingRequest != null && !pendingRequest.closed) {
      cancelAll(pendingRequest);
      // A request left in the queue would be counted as waiting until the queue is processed.
      pendingRequest.state.queued.remove(pendingRequest);
      close(pendingRequest);
    }
  }

  @Override
  public void streamStarted(long now, long request, int attempt, long server, long elapsed) {
    PendingRequest pendingRequest = pending.get(request);
    if (pendingRequest != null) {
      pendingRequest.streaming = true;
    }
  }

  @Override
  public void timer(long now, long token) {
    if (token == TIMER_PROBE) {
      health.probe(now, 0.5);
    } else if (token == TIMER_SWEEP) {
      priorities.update(now);
      dispatchQueued(now);
      logQueue(now);
      sweepScheduled = false;
      scheduleSweep();
    } else if (token == TIMER_POLL_DISCOVERY) {
      context.actions.watchServers();
    } else {
      PendingRequest pendingRequest = pendingByToken.get(token);
      if (pendingRequest == null || pendingRequest.streaming) {
        return; // the request is complete, or its response is streaming
      }
      if (pendingRequest.attemptsInFlight() > 0
          && now < pendingRequest.endAt + context.settings.tick()) {
        // The host reports the timeout of the attempt within one more tick.
        context.actions.timer(token, context.settings.tick());
      } else {
        finish(pendingRequest, now);
      }
    }
  }

  @Override
  public void message(long now, int agent, byte[] message) {
    // Agents exchange no messages: no use of messages has been worth their cost so far.
  }

  @Override
  public void settings(long now, SettingsReload next) {
    for (PendingRequest pendingRequest : pending.values()) {
      int at = classes.current().indexOf(pendingRequest.state);
      int to = at < 0 ? SettingsReload.REMOVED : next.classes().get(at);
      pendingRequest.type =
          SettingsReload.strictest(
              pendingRequest.type, to < 0 ? null : next.settings().classes().get(to));
    }
    if (next.settings().pollDiscovery() && !context.settings.pollDiscovery()) {
      context.actions.watchServers();
    }
    context.settings = next.settings();
    classes.reload(next);
    if (next.remapsServers() || warmRates.zoneCountDiffers()) {
      context.servers.remap(next, pending.values());
      latencies.remapKinds(next);
      warmRates.remapZones(next);
    }
    slowStart.settingsChanged(now);
    health.settingsChanged();
    // A queued request that must not be retried would block its queue until its deadline.
    for (RequestClassState state : classes.byPriority()) {
      List.copyOf(state.queued).stream()
          .filter(pendingRequest -> pendingRequest.queued && !mayRetry(pendingRequest, now))
          .forEach(pendingRequest -> finish(pendingRequest, now));
    }
    health.probeUnlessProbing(now);
    dispatchQueued(now);
  }

  @Override
  public void probed(long now, long server, Outcome outcome, long elapsed, double[] load) {
    if (health.probed(now, server, outcome)) {
      dispatchQueued(now);
    }
  }

  @Override
  public void servers(long now, ListKind kind, List<Server> entries) {
    if (kind == ListKind.FAILED) {
      if (context.settings.pollDiscovery()) {
        discovery.retryLater();
      }
      return;
    }
    if (kind != ListKind.CACHED) {
      discovery.responded();
    }
    warmRates.updateAll(now);
    if (kind != ListKind.DELTA) {
      context.servers.retain(entries);
    }
    for (Server entry : entries) {
      Endpoint started = context.servers.apply(entry);
      if (started != null) {
        slowStart.serverStarted(now, started);
      }
    }
    context.servers.sortByHash(context.settings.agent());
    admission.initializeLimits(subset.idleSubsetSize(SubsetSizer.MIN_LOCAL));
    health.probeUnlessProbing(now);
    dispatchQueued(now);
  }
}
