package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Obligations;

/** Limits the requests to a server that has started, or seems to have restarted, recently. */
final class SlowStart {
  private static final long SECOND = 1_000_000;

  /**
   * Assumed warm-up after a suspected restart that the server list does not report: the list is
   * seconds late.
   */
  private static final long SUSPECTED_WARMUP = 5 * SECOND;

  /** Interruptions shorter than this are not treated as a restart. */
  private static final long MIN_OUTAGE = SECOND / 2;

  /** Part of the overload time that a burst may fill: half, because the list may be late. */
  private static final double MAX_BURST_FRACTION = 0.5;

  private final LoadBalancerContext context;
  private final WarmServiceRates warmRates;

  SlowStart(LoadBalancerContext context, WarmServiceRates warmRates) {
    this.context = context;
    this.warmRates = warmRates;
  }

  /**
   * Records a sign that the server has stopped. A reset is no such sign, as connections to a
   * stopped process fail: if resets counted, one server in three would be in warm-up at any time in
   * a network that breaks connections.
   */
  void suspectRestart(Endpoint target, long now) {
    target.suspectedAt = target.suspectedRestart ? target.suspectedAt : now;
    target.suspectedRestart = true;
  }

  /**
   * Starts a warm-up at the first response after an interruption, whatever the list says: the
   * server may have restarted. A process does not restart within the time of one more attempt:
   * without a minimum outage, all servers in a network that sometimes resets connections would be
   * in warm-up again and again, and requests would be refused.
   */
  void responseReceived(Endpoint target, long now) {
    if (target.suspectedRestart) {
      target.suspectedRestart = false;
      if (!target.isWarmingUp(now) && now - target.suspectedAt >= MIN_OUTAGE) {
        beginWarmup(target, now, now, now + SUSPECTED_WARMUP, "answers again after a break");
      }
    }
  }

  void serverStarted(long now, Endpoint target) {
    target.health.reset();
    target.suspectedRestart = false;
    target.limit = 0;
    target.slowdown = 1;
    long warmAt = target.listing.startedAt() + context.settings.obligations().warmupTime();
    if (now < warmAt) {
      beginWarmup(target, now, target.listing.startedAt(), warmAt, "listed as just started");
    }
  }

  private void beginWarmup(Endpoint target, long now, long since, long until, String why) {
    target.warmupStart = since;
    target.warmupEnd = until;
    // A random credit below 1: with one full request each, a thousand agents send a thousand.
    target.warmupGranted = context.random.nextDouble();
    target.warmupSpent = 0;
    target.warmupUpdatedAt = now;
    context.servers.log(target, "cold: " + why);
  }

  /** Returns the minimum capacity of a server in warm-up, as a fraction of its full capacity. */
  private double warmFraction(Endpoint target, long now) {
    Obligations rule = context.settings.obligations();
    double elapsedFraction = Math.max(0, (double) (now - target.warmupStart) / rule.warmupTime());
    double from = rule.warmupStartFraction();
    return from + (1 - from) * Math.min(1, elapsedFraction);
  }

  /** Returns whether the server's response, slower in warm-up, can still meet the deadline. */
  boolean canFinishInTime(PendingRequest req, Endpoint target, long now) {
    return !target.isWarmingUp(now)
        || req.state.typicalLatency / warmFraction(target, now) < req.endAt - now;
  }

  /**
   * Returns how many requests this agent may send now to a server in warm-up. All agents together
   * must not overload the server: each agent earns credit at the response rate that the agent gets
   * from a warm server, times the minimum warm-up capacity. Unused credit expires: agents that
   * could not use the credit for some seconds would otherwise hold a request each and send all at
   * the same moment. The credit of all agents is at most what the overload rule leaves beside the
   * requests of one window, and half of the rule's tolerance for random variation.
   */
  double availableRequests(Endpoint target, long now) {
    Obligations rule = context.settings.obligations();
    double perSecond = warmRates.rate(target.listing.zone(), now) * warmFraction(target, now);
    double perWindow = perSecond * rule.overloadTime() / SECOND;
    double budget = rule.overloadMultiple() * perWindow * context.settings.agents();
    double fluctuation = (Math.sqrt(budget) + 1) / context.settings.agents();
    double maxCredit = (rule.overloadMultiple() - 1) * perWindow + fluctuation;
    target.warmupGranted += perSecond * (now - target.warmupUpdatedAt) / SECOND;
    target.warmupUpdatedAt = now;
    target.warmupSpent = Math.max(target.warmupSpent, Math.floor(target.warmupGranted - maxCredit));
    target.warmupSpent =
        Math.max(target.warmupSpent, target.warmupGranted - 1 - MAX_BURST_FRACTION * perWindow);
    return Math.floor(target.warmupGranted - target.warmupSpent);
  }

  /** Applies the new warm-up time to the warm-ups that the server list has reported. */
  void settingsChanged(long now) {
    for (Endpoint target : context.listed) {
      if (target.isWarmingUp(now)
          && target.warmupStart == target.listing.startedAt()) { // reported by the list
        // The credit stays: a change of settings grants no requests.
        target.warmupEnd =
            Math.max(
                target.warmupEnd, target.warmupStart + context.settings.obligations().warmupTime());
      }
    }
  }
}
