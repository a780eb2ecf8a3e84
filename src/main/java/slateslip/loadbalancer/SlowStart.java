package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Obligations;

/** What a server that has just started, or seems to have, may be sent. */
final class SlowStart {
  private static final long SECOND = 1_000_000;

  /**
   * How long a server is thought to have restarted unless the list says so: the list is seconds
   * late.
   */
  private static final long SUSPECTED_WARMUP = 5 * SECOND;

  /** A break shorter than this is no restart. */
  private static final long MIN_OUTAGE = SECOND / 2;

  /** How much of the time that topples a server its burst may fill: half, the list may be late. */
  private static final double MAX_BURST_FRACTION = 0.5;

  private final LoadBalancerContext agent;
  private final WarmServiceRates warmRates;

  SlowStart(LoadBalancerContext agent, WarmServiceRates warmRates) {
    this.agent = agent;
    this.warmRates = warmRates;
  }

  /**
   * It may have died. A reset is no sign of that: behind a process that died nobody takes
   * connections. Danger: a network that breaks connections would make one server in three cold at
   * any time.
   */
  void connectionLost(Endpoint target, long now) {
    target.suspectedAt = target.suspectedRestart ? target.suspectedAt : now;
    target.suspectedRestart = true;
  }

  /**
   * First answer after a break: it may have restarted, whatever the list says; treat it as cold.
   * Danger: a network that resets connections now and then makes every server cold, over and over,
   * and the requests of all are rejected; a process does not come back within the time of one more
   * try.
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
    long warmAt = target.listing.startedAt() + agent.settings.obligations().warmupTime();
    if (now < warmAt) {
      beginWarmup(target, now, target.listing.startedAt(), warmAt, "listed as just started");
    }
  }

  private void beginWarmup(Endpoint target, long now, long since, long until, String why) {
    target.warmupStart = since;
    target.warmupEnd = until;
    target.warmupGranted =
        agent.random.nextDouble(); // one full request each: a thousand agents send a thousand
    target.warmupSpent = 0;
    target.warmupUpdatedAt = now;
    agent.servers.log(target, "cold: " + why);
  }

  /** The part of its capacity that a server that is warming up has at the least. */
  private double warmFraction(Endpoint target, long now) {
    Obligations rule = agent.settings.obligations();
    double share = Math.max(0, (double) (now - target.warmupStart) / rule.warmupTime());
    double from = rule.warmupStartFraction();
    return from + (1 - from) * Math.min(1, share);
  }

  /** Danger: a server that has just started may need longer for one request than anybody waits. */
  boolean canFinishInTime(PendingRequest req, Endpoint target, long now) {
    return !target.isWarmingUp(now)
        || req.state.typicalLatency / warmFraction(target, now) < req.endAt - now;
  }

  /**
   * Requests this agent may send to a server that is warming up now. Danger: all agents together
   * push it over. Each keeps to what it gets answered by a warm server, times the part that is
   * surely warm. Danger: agents that could not use it for some seconds hold one each, however many
   * they are, and all turn to it in the same moment. So what is not used is lost in time: all
   * together hold no more than what the rule leaves beside the requests of one window, and half of
   * what it puts down to chance.
   */
  double availableRequests(Endpoint target, long now) {
    Obligations rule = agent.settings.obligations();
    double perSecond = warmRates.rate(target.listing.zone(), now) * warmFraction(target, now);
    double perWindow = perSecond * rule.overloadTime() / SECOND;
    double budget = rule.overloadMultiple() * perWindow * agent.settings.agents();
    double chance = (Math.sqrt(budget) + 1) / agent.settings.agents();
    double maxCredit = (rule.overloadMultiple() - 1) * perWindow + chance;
    target.warmupGranted += perSecond * (now - target.warmupUpdatedAt) / SECOND;
    target.warmupUpdatedAt = now;
    target.warmupSpent = Math.max(target.warmupSpent, Math.floor(target.warmupGranted - maxCredit));
    target.warmupSpent =
        Math.max(target.warmupSpent, target.warmupGranted - 1 - MAX_BURST_FRACTION * perWindow);
    return Math.floor(target.warmupGranted - target.warmupSpent);
  }

  /** Warm-ups that the list told of last as long as other settings say. */
  void settingsChanged(long now) {
    for (Endpoint target : agent.listed) {
      if (target.isWarmingUp(now)
          && target.warmupStart == target.listing.startedAt()) { // as the list has it
        // What it may be sent stays: a change of settings earns it nothing.
        target.warmupEnd =
            Math.max(
                target.warmupEnd, target.warmupStart + agent.settings.obligations().warmupTime());
      }
    }
  }
}
