package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Obligations;

/** What a server that has just started, or seems to have, may be sent. */
final class SlowStart {
  private static final long SECOND = 1_000_000;

  /**
   * How long a server is thought to have restarted unless the list says so: the list is seconds
   * late.
   */
  private static final long SUSPICION = 5 * SECOND;

  /** A break shorter than this is no restart. */
  private static final long BREAK_LEAST = SECOND / 2;

  /** How much of the time that topples a server its burst may fill: half, the list may be late. */
  private static final double COLD_BURST = 0.5;

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
  void broke(Endpoint target, long now) {
    target.brokenAt = target.broken ? target.brokenAt : now;
    target.broken = true;
  }

  /**
   * First answer after a break: it may have restarted, whatever the list says; treat it as cold.
   * Danger: a network that resets connections now and then makes every server cold, over and over,
   * and the requests of all are turned away; a process does not come back within the time of one
   * more try.
   */
  void recovered(Endpoint target, long now) {
    if (target.broken) {
      target.broken = false;
      if (!target.cold(now) && now - target.brokenAt >= BREAK_LEAST) {
        chill(target, now, now, now + SUSPICION, "answers again after a break");
      }
    }
  }

  void restart(long now, Endpoint target) {
    target.health.reset();
    target.broken = false;
    target.limit = 0;
    target.stretch = 1;
    long warmAt = target.listed.startedAt() + agent.settings.obligations().coldTime();
    if (now < warmAt) {
      chill(target, now, target.listed.startedAt(), warmAt, "listed as just started");
    }
  }

  private void chill(Endpoint target, long now, long since, long until, String why) {
    target.coldSince = since;
    target.coldUntil = until;
    target.coldGranted =
        agent.random.nextDouble(); // a whole one each: a thousand agents send a thousand
    target.coldSpent = 0;
    target.coldAt = now;
    agent.servers.log(target, "cold: " + why);
  }

  /** The part of its capacity that a cold server has at the least. */
  private double warmth(Endpoint target, long now) {
    Obligations rule = agent.settings.obligations();
    double share = Math.max(0, (double) (now - target.coldSince) / rule.coldTime());
    double from = rule.coldFrom();
    return from + (1 - from) * Math.min(1, share);
  }

  /** Danger: a server that has just started may need longer for one request than anybody waits. */
  boolean warmEnough(PendingRequest req, Endpoint target, long now) {
    return !target.cold(now) || req.state.typical / warmth(target, now) < req.endAt - now;
  }

  /**
   * Requests this agent may send to a cold server now. Danger: all agents together push it over.
   * Each keeps to what it gets answered by a warm server, times the part that is surely warm.
   * Danger: agents that could not use it for some seconds hold one each, however many they are, and
   * all turn to it in the same moment. So what is not used is lost in time: all together hold no
   * more than what the rule leaves beside the requests of one window, and half of what it puts down
   * to chance.
   */
  double coldBudget(Endpoint target, long now) {
    Obligations rule = agent.settings.obligations();
    double perSecond = warmRates.of(target.listed.zone(), now) * warmth(target, now);
    double perWindow = perSecond * rule.overloadTime() / SECOND;
    double budget = rule.overloadMultiple() * perWindow * agent.settings.agents();
    double chance = (Math.sqrt(budget) + 1) / agent.settings.agents();
    double held = (rule.overloadMultiple() - 1) * perWindow + chance;
    target.coldGranted += perSecond * (now - target.coldAt) / SECOND;
    target.coldAt = now;
    target.coldSpent = Math.max(target.coldSpent, Math.floor(target.coldGranted - held));
    target.coldSpent = Math.max(target.coldSpent, target.coldGranted - 1 - COLD_BURST * perWindow);
    return Math.floor(target.coldGranted - target.coldSpent);
  }

  /** Warm-ups that the list told of last as long as other settings say. */
  void settingsChanged(long now) {
    for (Endpoint target : agent.listed) {
      if (target.cold(now) && target.coldSince == target.listed.startedAt()) { // as the list has it
        // What it may be sent stays: a change of settings earns it nothing.
        target.coldUntil =
            Math.max(target.coldUntil, target.coldSince + agent.settings.obligations().coldTime());
      }
    }
  }
}
