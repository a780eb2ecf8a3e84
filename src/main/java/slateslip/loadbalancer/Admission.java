package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Outcome;

/** How many requests each server may have in flight from this agent, as its answers teach. */
final class Admission {
  private static final long SECOND = 1_000_000;

  /**
   * A server that fails at once rests as if the request had taken its time, doubled up to this
   * often.
   */
  private static final int REST_DOUBLINGS = 5;

  /** Where the limits of all agents together for a server unknown so far start. */
  private static final double LIMIT_START = 12;

  /** After a fast answer with the limit half used. */
  private static final double LIMIT_UP = 0.2;

  private static final double LIMIT_FACTOR = 0.3;

  /**
   * The same past the aim: a choked server mends only if all that share it leave it for seconds.
   */
  private static final double LIMIT_LATE = 0.1;

  /** Up to this limit an agent is light: its answers from a server are few, and one says little. */
  private static final double LIMIT_FEW = 2;

  /** The least limit of all agents together, so that none is shut out; below 1 a server pauses. */
  private static final double LIMIT_LEAST = 6;

  /**
   * An answer slower than this many times the unhurried time says that the server has too much in
   * hand.
   */
  private static final double SLOW_MULTIPLE = 1.45;

  /**
   * Never let the unhurried time excuse answers slower than this part of the time wanted. Danger:
   * where the work alone often takes half that time, a smaller part finds idle servers slow and
   * shuts them.
   */
  private static final double SLOW_SHARE = 0.65;

  /** To a light agent an answer within this part of the aim is never slow. */
  private static final double HARMLESS_SHARE = 0.4;

  /**
   * After a slow answer: even at as many as an unhurried server has above the quantile. Danger:
   * works vary, and where fewer slow answers outweigh the fast, the limits of idle servers sink to
   * the least.
   */
  private static final double LIMIT_DOWN =
      LIMIT_UP * LatencyTracker.QUANTILE / (1 - LatencyTracker.QUANTILE);

  /** How much slower than the class a server may be by nature before its answers count as slow. */
  private static final double NATURE_MAX = 2;

  private final LoadBalancerContext agent;
  private final LatencyTracker answerTimes;
  private final SlowStart cold;
  private final EndpointHealthChecker health;

  Admission(
      LoadBalancerContext agent,
      LatencyTracker answerTimes,
      SlowStart cold,
      EndpointHealthChecker health) {
    this.agent = agent;
    this.answerTimes = answerTimes;
    this.cold = cold;
    this.health = health;
  }

  /** Gives listed servers that have none a first limit; so many agents have one in their subset. */
  void startLimits(int subset) {
    double part = Math.min(1, (double) subset / Math.max(1, agent.listed.size()));
    for (Endpoint target : agent.listed) {
      target.limit =
          target.limit == 0 ? LIMIT_START / (agent.settings.agents() * part) : target.limit;
    }
  }

  boolean hasRoom(Endpoint target, long now) {
    return target.inFlight < Math.max(1, (int) target.limit)
        && now >= target.restUntil
        && (!target.cold(now) || cold.coldBudget(target, now) >= 1);
  }

  void learn(PendingRequest req, Endpoint target, Outcome outcome, long spent, long now) {
    if (outcome == Outcome.CANCELLED || outcome == Outcome.NEVER_SENT) {
      return; // says nothing about the server
    }
    boolean failed = outcome != Outcome.OK && outcome != Outcome.FULL;
    target.health.requestEnded(now, failed);
    if (outcome == Outcome.OK) {
      target.answeredSinceProbe = true;
      target.failuresInRow = 0;
      target.answeredAt = now;
      cold.recovered(target, now);
      answerTimes.learnTime(req, target, spent, now);
      req.state.served++;
      target.answerRate =
          LatencyTracker.rate(target, now) + 1.0 * SECOND / LatencyTracker.RATE_PERIOD;
    } else if (outcome == Outcome.CONNECT_FAILED && target.failuresInRow > 0) {
      cold.broke(target, now); // one alone may be a full table of connections
    }
    if (outcome != Outcome.OK && (outcome != Outcome.TIMEOUT || now - spent > target.answeredAt)) {
      // Danger: a server that fails at once always has the fewest in flight and would draw
      // everything;
      // and of many agents none sends a silent server enough to fill the window. But one failure of
      // another kind between answers is no reason: with one in ten half the servers would rest.
      int before = outcome == Outcome.TIMEOUT ? target.failuresInRow : target.failuresInRow - 1;
      if (before >= 0) {
        long usual = (long) Math.max(req.state.typical, (double) agent.settings.tick());
        target.restUntil = now + (usual << before);
      }
      target.failuresInRow = Math.min(REST_DOUBLINGS, target.failuresInRow + 1);
    }
    // Danger: a connection that breaks says nothing about room; to make less room for each leaves
    // servers
    // idle behind a network that resets now and then.
    // Nor does a time-out while others are answered: heavy requests would close every server to the
    // rest.
    boolean crowded =
        outcome != Outcome.ERROR
            && outcome != Outcome.RESET
            && (outcome != Outcome.TIMEOUT || now - spent > target.answeredAt);
    if (outcome == Outcome.OK ? slow(req, target, spent) : crowded) {
      // In proportion where it is low: one slow answer must not close a server to a light agent.
      double factor = spent > req.state.type.aim() ? LIMIT_LATE : LIMIT_FACTOR;
      double less = target.limit > LIMIT_FEW ? target.limit - LIMIT_DOWN : factor * target.limit;
      target.limit = Math.max(Math.min(1, LIMIT_LEAST / agent.settings.agents()), less);
    } else if (outcome == Outcome.OK && 2 * (target.inFlight + 1) >= target.limit) {
      target.limit += LIMIT_UP;
    }
    if (target.limit < 1) { // Danger: with many agents one each is too much for a small server
      target.restUntil = Math.max(target.restUntil, now + (long) (spent * (1 / target.limit - 1)));
    }
    if (failed && health.available(target, now)) {
      health.judge(target, now);
    }
  }

  /**
   * Whether an answer was slow for its class and its server's nature. Danger: where the aim leaves
   * room for many times the work, a short queue does no harm, and to pause for it leaves servers
   * idle; so does holding small machines to the pace of the large ones. Danger: a light agent sees
   * the few answers of one class for so long that it takes a jam for their usual time; all classes
   * together are known before.
   */
  private boolean slow(PendingRequest req, Endpoint target, long spent) {
    QuantileEstimator times = answerTimes.of(req.state);
    double nature =
        target.pace.known() ? Math.max(1, Math.min(NATURE_MAX, target.pace.lowest())) : 1;
    double most = SLOW_SHARE * (req.endAt - req.cameAt);
    return spent
        > Math.max(
            target.limit > LIMIT_FEW ? 0 : HARMLESS_SHARE * req.state.type.aim(),
            times.known() ? Math.min(most, SLOW_MULTIPLE * nature * times.lowest()) : most);
  }
}
