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
  private static final long SECOND = 1_000_000;

  /** Further attempts earned by each request: retries can never multiply an overload. */
  private static final double RETRY_EARNED = 0.2;

  /** What may be saved up of them, enough for one broken server. */
  private static final double RETRY_BANK = 10;

  /** While requests are held, how often they are looked at, in ticks of the host. */
  private static final int SWEEP_TICKS = 4;

  /**
   * Two waits in a row before discovery is asked again take this at the most: of the protocol's 6 s
   * from a change, or the return of discovery, until it counts as told, the last second is for the
   * answer.
   */
  private static final long ASK_TWICE = 5 * SECOND;

  /** And each at the least: a discovery that turns calls away is not to be flooded with more. */
  private static final long ASK_LEAST = SECOND / 2;

  /**
   * The part of the time that the settings leave for asking over which the first calls are spread.
   */
  private static final int ASK_SPREAD = 4;

  /** Names the timer of the next probe. */
  static final long TIMER_PROBE = -1;

  private static final long TIMER_SWEEP = -2;
  private static final long TIMER_ASK = -3;

  private final LoadBalancerContext agent;
  private final RequestClasses classes;
  private final LatencyTracker times = new LatencyTracker();
  private final WarmServiceRates warmRates;
  private final SlowStart cold;
  private final SubsetSizer subset;
  private final EndpointHealthChecker health;
  private final Admission admission;
  private final EndpointSelector pick;
  private final ClassPriorities ranking;
  private final RetryTokenBucket retries = new RetryTokenBucket(RETRY_EARNED, RETRY_BANK);
  private final QueueReport waitingReport = new QueueReport();
  private final Map<Long, PendingRequest> open = new HashMap<>();
  private final Map<Long, PendingRequest> byToken = new HashMap<>();
  private long nextToken;
  private boolean sweeping;

  /** The last wait before discovery was asked again; half of two while it answers. */
  private long askDelay = ASK_TWICE / 2;

  /** A new instance that knows nothing but its settings; seed for its random choices. */
  public DefaultLoadBalancer(Settings settings, long seed, long now, Actions actions) {
    this.agent = new LoadBalancerContext(settings, seed, actions);
    this.classes = new RequestClasses(agent);
    this.warmRates = new WarmServiceRates(agent);
    this.cold = new SlowStart(agent, warmRates);
    this.subset = new SubsetSizer(agent);
    this.health = new EndpointHealthChecker(agent, cold, subset);
    this.admission = new Admission(agent, times, cold, health);
    this.pick = new EndpointSelector(agent, health, admission, times, cold, subset);
    this.ranking = new ClassPriorities(agent, classes, now);
    if (settings.askDiscovery()) {
      // Danger: agents started together call together, and discovery turns most of them away.
      long spread = settings.obligations().askWithin() / ASK_SPREAD;
      actions.timer(TIMER_ASK, agent.random.nextLong(spread + 1));
    }
  }

  @Override
  public void request(long now, Request request) {
    RequestClassState state = classes.current().get(request.requestClass());
    RequestClass type = state.type;
    long aim = type.aim() + (long) (type.aimStretch() * request.cost());
    long spent = state.spentBefore(request, now, agent.settings.tick());
    // Danger: work for an answer already too late. Where that is only reckoned, not marked, such a
    // request is still served while nobody waits: a client may be hasty by nature.
    boolean late = spent > 0 && type.lateShare() == 0 && aim - spent < state.times.value();
    long left = late && !request.repeated() ? aim : aim - spent;
    long last = request.deadline() - agent.settings.tick();
    long endAt = type.lateShare() > 0 ? last : Math.min(last, now + left - agent.settings.tick());
    PendingRequest req = new PendingRequest(request, state, nextToken++, now, endAt);
    open.put(request.id(), req);
    byToken.put(req.token, req);
    agent.actions.timer(req.token, Math.max(0, endAt - now));
    state.came(request);
    subset.requestCame(state.unhurried);
    retries.earn();
    if (late && (request.repeated() || classes.waiting())) {
      finish(req, now);
    } else {
      dispatchOrHold(req, now);
    }
  }

  /** Sends a request if its history permits and a server has room. */
  private boolean dispatch(PendingRequest req, long now) {
    if (req.attempts.size() >= agent.settings.permits().maxAttempts() || now >= req.endAt) {
      return false;
    }
    Endpoint target = pick.pick(req, now);
    if (target == null) {
      return false;
    }
    req.held = false;
    req.attempts.add(new Attempt(target, now));
    target.inFlight++;
    target.coldSpent++;
    agent.actions.send(req.request.id(), target.id, req.type.streamed() ? 0 : req.endAt - now);
    return true;
  }

  private void dispatchOrHold(PendingRequest req, long now) {
    if (!dispatch(req, now)) {
      req.held = true;
      req.state.held.addLast(req);
      sweepLater();
    }
  }

  private void sweepLater() {
    if (!sweeping && classes.waiting()) {
      sweeping = true;
      agent.actions.timer(TIMER_SWEEP, SWEEP_TICKS * agent.settings.tick());
    }
  }

  /**
   * Sends what was held for want of room, the newest of each class first. Danger: oldest first, in
   * a long queue each is sent when it is just too late, and the servers work for nobody.
   */
  private void release(long now) {
    for (RequestClassState state : classes.order()) {
      Deque<PendingRequest> queue = state.held;
      while (!queue.isEmpty() && (!queue.peekFirst().held || hopeless(queue.peekFirst(), now))) {
        PendingRequest oldest = queue.pollFirst();
        if (oldest.held) {
          finish(oldest, now);
        }
      }
      while (!queue.isEmpty() && (!queue.peekLast().held || dispatch(queue.peekLast(), now))) {
        queue.pollLast();
      }
      // Danger: the oldest would cross zones with too little time left; take the newest that may.
      for (var newest = queue.descendingIterator(); newest.hasNext(); ) {
        PendingRequest req = newest.next();
        if (req.held && now - req.cameAt >= pick.patience(req) && !dispatch(req, now)) {
          break;
        }
      }
    }
  }

  private void tellWaiting(long now) {
    long held = open.values().stream().filter(each -> each.held).count();
    if (held > 0 && waitingReport.due(now)) {
      agent.actions.log(
          QueueReport.line(
              now, held, agent.listed, agent.settings.zone(), each -> health.available(each, now)));
    }
  }

  /** Whether an answer would come too late to be worth the work. */
  private boolean hopeless(PendingRequest req, long now) {
    return now + (long) req.state.times.value() > req.endAt;
  }

  @Override
  public void outcome(
      long now,
      long request,
      int attempt,
      long server,
      Outcome outcome,
      long spent,
      boolean closed,
      double[] load) {
    PendingRequest req = open.get(request);
    if (req == null
        || attempt >= req.attempts.size()
        || req.attempts.get(attempt).outcome != null) {
      return; // not held any more, or told twice
    }
    Attempt ended = req.attempts.get(attempt);
    ended.outcome = outcome;
    ended.target.inFlight--;
    agent.servers.forget(ended.target);
    admission.learn(req, ended.target, outcome, spent, now);
    if (closed) {
      close(req);
    }
    if (!req.closed && req.out() == 0) {
      again(req, now);
    }
    if (req.closed && req.out() == 0) {
      open.remove(request);
    }
    release(now);
  }

  /** After a failed attempt: another one where permitted and affordable, or the final answer. */
  private void again(PendingRequest req, long now) {
    if (!hopeless(req, now) && mayGoAgain(req, now) && retries.permits()) {
      retries.spend();
      dispatchOrHold(req, now);
    } else {
      finish(req, now);
    }
  }

  private boolean mayGoAgain(PendingRequest req, long now) {
    return req.attempts.size() < agent.settings.permits().maxAttempts()
        && RetryEligibility.maySend(req, agent.settings.permits(), now);
  }

  /** The final answer for a request that will not be served: a refusal where permitted. */
  private void finish(PendingRequest req, long now) {
    if (req.closed) {
      return;
    }
    cancelAll(req);
    if (!req.request.repeated()) {
      req.state.unservedWait += LatencyTracker.BLEND * (now - req.cameAt - req.state.unservedWait);
    }
    if (RetryEligibility.mayRefuse(req)) {
      agent.actions.refuse(req.request.id(), comeBack(req, now));
    } else {
      agent.actions.fail(req.request.id());
    }
    close(req);
  }

  /**
   * When a refused client should come back: once those that wait now have had room, as answers come
   * now, and not before one answer's time; nobody is told to wait longer than a client would for
   * all tries. Danger: a time that is only long keeps clients away from servers that have room.
   */
  private long comeBack(PendingRequest req, long now) {
    long permitted = agent.settings.permits().maxRetryAfter();
    long most = permitted > 0 ? permitted : req.type.giveUp();
    double perSecond =
        agent.listed.stream().mapToDouble(each -> LatencyTracker.rate(each, now)).sum();
    long ahead = 1 + classes.order().stream().mapToLong(each -> each.held.size()).sum();
    double wait = perSecond == 0 ? most : ahead / perSecond * SECOND;
    return (long)
        Math.min(
            (double) most,
            Math.max((double) agent.settings.tick(), Math.max(wait, req.state.typical)));
  }

  private void cancelAll(PendingRequest req) {
    for (int i = 0; i < req.attempts.size() && agent.settings.permits().cancel(); i++) {
      if (req.attempts.get(i).outcome == null) {
        agent.actions.cancel(req.request.id(), i);
      }
    }
  }

  private void close(PendingRequest req) {
    req.closed = true;
    req.held = false;
    byToken.remove(req.token);
    if (req.out() == 0) {
      open.remove(req.request.id());
    }
  }

  @Override
  public void clientLeft(long now, long request) {
    PendingRequest req = open.get(request);
    if (req != null && !req.closed) {
      cancelAll(req);
      req.state.held.remove(req); // it would count among those that wait until its turn came
      close(req);
    }
  }

  @Override
  public void streamStarted(long now, long request, int attempt, long server, long spent) {
    PendingRequest req = open.get(request);
    if (req != null) {
      req.streaming = true;
    }
  }

  @Override
  public void timer(long now, long token) {
    if (token == TIMER_PROBE) {
      health.probe(now, 0.5);
    } else if (token == TIMER_SWEEP) {
      ranking.rank(now);
      release(now);
      tellWaiting(now);
      sweeping = false;
      sweepLater();
    } else if (token == TIMER_ASK) {
      agent.actions.watchServers();
    } else {
      PendingRequest req = byToken.get(token);
      if (req == null || req.streaming) {
        return; // answered long ago, or with the client now
      }
      if (req.out() > 0 && now < req.endAt + agent.settings.tick()) {
        agent.actions.timer(token, agent.settings.tick()); // the attempt's time-out comes too
      } else {
        finish(req, now);
      }
    }
  }

  @Override
  public void message(long now, int agent, byte[] message) {} // no message has earned its price yet

  @Override
  public void settings(long now, SettingsReload next) {
    for (PendingRequest req : open.values()) {
      int at = classes.current().indexOf(req.state);
      int to = at < 0 ? SettingsReload.REMOVED : next.classes().get(at);
      req.type =
          SettingsReload.strictest(req.type, to < 0 ? null : next.settings().classes().get(to));
    }
    if (next.settings().askDiscovery() && !agent.settings.askDiscovery()) {
      agent.actions.watchServers();
    }
    agent.settings = next.settings();
    classes.take(next);
    if (next.movesServers() || warmRates.zonesDiffer()) {
      agent.servers.move(next, open.values());
      times.moveKinds(next);
      warmRates.moveZones(next);
    }
    cold.settingsChanged(now);
    health.settingsChanged();
    // Danger: one that may not go again would stand before others in its queue until its time is
    // up.
    for (RequestClassState state : classes.order()) {
      List.copyOf(state.held).stream()
          .filter(req -> req.held && !mayGoAgain(req, now))
          .forEach(req -> finish(req, now));
    }
    health.probeUnlessProbing(now);
    release(now);
  }

  @Override
  public void probed(long now, long server, Outcome outcome, long spent, double[] load) {
    if (health.probed(now, server, outcome)) {
      release(now);
    }
  }

  @Override
  public void servers(long now, ListKind kind, List<Server> entries) {
    if (kind == ListKind.FAILED) {
      if (agent.settings.askDiscovery()) {
        // Danger: waits that grow leave an old list in use; equal ones keep the agents in step, and
        // those who were turned away together are turned away again.
        askDelay = ASK_LEAST + agent.random.nextLong(ASK_TWICE - askDelay - ASK_LEAST + 1);
        agent.actions.timer(TIMER_ASK, askDelay);
      }
      return;
    }
    if (kind != ListKind.CACHED) {
      askDelay = ASK_TWICE / 2;
    }
    warmRates.reckon(now);
    if (kind != ListKind.DELTA) {
      agent.servers.retain(entries);
    }
    for (Server entry : entries) {
      Endpoint started = agent.servers.apply(entry);
      if (started != null) {
        cold.restart(now, started);
      }
    }
    agent.servers.order(agent.settings.agent());
    admission.startLimits(subset.subset(SubsetSizer.LEAST));
    health.probeUnlessProbing(now);
    release(now);
  }
}
