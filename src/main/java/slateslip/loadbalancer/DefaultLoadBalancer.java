// The interface of this module (its types, events and actions) is in LoadBalancer.java.
package slateslip.loadbalancer;

import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateslip.loadbalancer.PendingRequest.Attempt;
import slateslip.loadbalancer.policy.RetryTokenBucket;

/**
 * The decisions of one agent's balancer: the life of a request and what follows from events. The
 * parts decide the rest: {@link RetryEligibility} what a request's history permits, {@link
 * EndpointSelector} where it goes, {@link Admission} how much a server gets, {@link
 * EndpointHealthChecker} which are available, {@link SlowStart} what one that has just started
 * gets, {@link ClassPriorities} which class goes first.
 */
public final class DefaultLoadBalancer implements LoadBalancer {

  /** Further attempts earned by each request: retries can never multiply an overload. */
  private static final double RETRY_BUDGET_RATIO = 0.2;

  /** What may be saved up of them, enough for one broken server. */
  private static final double MAX_RETRY_TOKENS = 10;

  /** While requests are held, how often they are looked at, in ticks of the host. */
  private static final int SWEEP_TICKS = 4;

  /** Names the timer of the next probe. */
  static final long TIMER_PROBE = -1;

  private static final long TIMER_SWEEP = -2;
  static final long TIMER_POLL_DISCOVERY = -3;

  private final LoadBalancerContext agent;
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
  private final RetryTokenBucket retries =
      new RetryTokenBucket(RETRY_BUDGET_RATIO, MAX_RETRY_TOKENS);
  private final QueueReport waitingReport = new QueueReport();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Map<Long, PendingRequest> byToken = new HashMap<>();
  private long nextToken;
  private boolean sweepScheduled;

  /** A new instance that knows nothing but its settings; seed for its random choices. */
  public DefaultLoadBalancer(Settings settings, long seed, long now, Actions actions) {
    this.agent = new LoadBalancerContext(settings, seed, actions);
    this.classes = new RequestClasses(agent);
    this.warmRates = new WarmServiceRates(agent);
    this.slowStart = new SlowStart(agent, warmRates);
    this.subset = new SubsetSizer(agent);
    this.health = new EndpointHealthChecker(agent, slowStart, subset);
    this.admission = new Admission(agent, latencies, slowStart, health);
    this.selector = new EndpointSelector(agent, health, admission, latencies, slowStart, subset);
    this.priorities = new ClassPriorities(agent, classes, now);
    this.discovery = new DiscoveryPoller(agent);
    this.retryAfterAdvice = new RetryAfterAdvice(agent, classes);
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
    long elapsed = state.elapsedBeforeArrival(request, now, agent.settings.tick());
    // Danger: work for a response already too late. Where that is only reckoned, not marked, such a
    // request is still served while nobody waits: a client may be hasty by nature.
    boolean alreadyLate =
        elapsed > 0
            && type.lateValueFraction() == 0
            && latencyTarget - elapsed < state.latencies.value();
    long timeLeft = alreadyLate && !request.repeated() ? latencyTarget : latencyTarget - elapsed;
    long latestEnd = request.deadline() - agent.settings.tick();
    long endAt =
        type.lateValueFraction() > 0
            ? latestEnd
            : Math.min(latestEnd, now + timeLeft - agent.settings.tick());
    PendingRequest pendingRequest = new PendingRequest(request, state, nextToken++, now, endAt);
    pending.put(request.id(), pendingRequest);
    byToken.put(pendingRequest.token, pendingRequest);
    agent.actions.timer(pendingRequest.token, Math.max(0, endAt - now));
    state.recordArrival(request);
    subset.requestArrived(state.unloadedLatency);
    retries.earn();
    if (alreadyLate && (request.repeated() || classes.hasQueued())) {
      finish(pendingRequest, now);
    } else {
      dispatchOrQueue(pendingRequest, now);
    }
  }

  /** Sends a request if its history permits and a server has capacity. */
  private boolean dispatch(PendingRequest pendingRequest, long now) {
    if (pendingRequest.attempts.size() >= agent.settings.permits().maxAttempts()
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
    agent.actions.send(
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
      agent.actions.timer(TIMER_SWEEP, SWEEP_TICKS * agent.settings.tick());
    }
  }

  /**
   * Sends what was held for lack of capacity, the newest of each class first. Danger: oldest first,
   * in a long queue each is sent when it is just too late, and the servers work for nobody.
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
      // Danger: the oldest would cross zones with too little time left; take the newest that may.
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
    if (queued > 0 && waitingReport.due(now)) {
      agent.actions.log(
          QueueReport.line(
              now,
              queued,
              agent.listed,
              agent.settings.zone(),
              each -> health.available(each, now)));
    }
  }

  /** Whether a response would come too late to be worth the work. */
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
      return; // not held any more, or told twice
    }
    Attempt ended = pendingRequest.attempts.get(attempt);
    ended.outcome = outcome;
    ended.endpoint.inFlight--;
    agent.servers.forget(ended.endpoint);
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

  /** After a failed attempt: another one where permitted and affordable, or the final answer. */
  private void retryOrFinish(PendingRequest pendingRequest, long now) {
    if (!cannotFinishInTime(pendingRequest, now)
        && mayRetry(pendingRequest, now)
        && retries.permits()) {
      retries.spend();
      dispatchOrQueue(pendingRequest, now);
    } else {
      finish(pendingRequest, now);
    }
  }

  private boolean mayRetry(PendingRequest pendingRequest, long now) {
    return pendingRequest.attempts.size() < agent.settings.permits().maxAttempts()
        && RetryEligibility.maySend(pendingRequest, agent.settings.permits(), now);
  }

  /** The final answer for a request that will not be served: a refusal where permitted. */
  private void finish(PendingRequest pendingRequest, long now) {
    if (pendingRequest.closed) {
      return;
    }
    cancelAll(pendingRequest);
    if (!pendingRequest.request.repeated()) {
      pendingRequest.state.unservedWait +=
          LatencyTracker.BLEND
              * (now - pendingRequest.arrivedAt - pendingRequest.state.unservedWait);
    }
    if (RetryEligibility.mayRefuse(pendingRequest)) {
      agent.actions.refuse(
          pendingRequest.request.id(), retryAfterAdvice.micros(pendingRequest, now));
    } else {
      agent.actions.fail(pendingRequest.request.id());
    }
    close(pendingRequest);
  }

  private void cancelAll(PendingRequest pendingRequest) {
    for (int i = 0; i < pendingRequest.attempts.size() && agent.settings.permits().cancel(); i++) {
      if (pendingRequest.attempts.get(i).outcome == null) {
        agent.actions.cancel(pendingRequest.request.id(), i);
      }
    }
  }

  private void close(PendingRequest pendingRequest) {
    pendingRequest.closed = true;
    pendingRequest.queued = false;
    byToken.remove(pendingRequest.token);
    if (pendingRequest.attemptsInFlight() == 0) {
      pending.remove(pendingRequest.request.id());
    }
  }

  @Override
  public void clientLeft(long now, long request) {
    PendingRequest pendingRequest = pending.get(request);
    if (pendingRequest != null && !pendingRequest.closed) {
      cancelAll(pendingRequest);
      pendingRequest.state.queued.remove(
          pendingRequest); // it would count among those that wait until its turn came
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
      agent.actions.watchServers();
    } else {
      PendingRequest pendingRequest = byToken.get(token);
      if (pendingRequest == null || pendingRequest.streaming) {
        return; // answered long ago, or with the client now
      }
      if (pendingRequest.attemptsInFlight() > 0
          && now < pendingRequest.endAt + agent.settings.tick()) {
        agent.actions.timer(token, agent.settings.tick()); // the attempt's time-out comes too
      } else {
        finish(pendingRequest, now);
      }
    }
  }

  @Override
  public void message(long now, int agent, byte[] message) {} // no message has earned its price yet

  @Override
  public void settings(long now, SettingsReload next) {
    for (PendingRequest pendingRequest : pending.values()) {
      int at = classes.current().indexOf(pendingRequest.state);
      int to = at < 0 ? SettingsReload.REMOVED : next.classes().get(at);
      pendingRequest.type =
          SettingsReload.strictest(
              pendingRequest.type, to < 0 ? null : next.settings().classes().get(to));
    }
    if (next.settings().pollDiscovery() && !agent.settings.pollDiscovery()) {
      agent.actions.watchServers();
    }
    agent.settings = next.settings();
    classes.reload(next);
    if (next.movesServers() || warmRates.zonesDiffer()) {
      agent.servers.move(next, pending.values());
      latencies.remapKinds(next);
      warmRates.remapZones(next);
    }
    slowStart.settingsChanged(now);
    health.settingsChanged();
    // Danger: one that may not go again would stand before others in its queue until its time is
    // up.
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
      if (agent.settings.pollDiscovery()) {
        discovery.retryLater();
      }
      return;
    }
    if (kind != ListKind.CACHED) {
      discovery.responded();
    }
    warmRates.updateAll(now);
    if (kind != ListKind.DELTA) {
      agent.servers.retain(entries);
    }
    for (Server entry : entries) {
      Endpoint started = agent.servers.apply(entry);
      if (started != null) {
        slowStart.serverStarted(now, started);
      }
    }
    agent.servers.order(agent.settings.agent());
    admission.startLimits(subset.idleSubsetSize(SubsetSizer.MIN_LOCAL));
    health.probeUnlessProbing(now);
    dispatchQueued(now);
  }
}
