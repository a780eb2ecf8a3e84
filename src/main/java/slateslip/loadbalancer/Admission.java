package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Outcome;

/** How many requests each server may have in flight from this agent, as its answers teach. */
final class Admission {
  private static final long SECOND = 1_000_000;

  /**
   * A server that fails at once rests as if the request had taken its time, doubled up to this
   * often.
   */
  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** Where the limits of all agents together for a server unknown so far start. */
  private static final double INITIAL_LIMIT = 12;

  /** After a fast answer with the limit half used. */
  private static final double LIMIT_INCREMENT = 0.2;

  private static final double LOW_LIMIT_DECREASE = 0.3;

  /**
   * The same past the aim: a choked server mends only if all that share it leave it for seconds.
   */
  private static final double LATE_LOW_LIMIT_DECREASE = 0.1;

  /** Up to this limit an agent is light: its answers from a server are few, and one says little. */
  private static final double LOW_LIMIT = 2;

  /** The least limit of all agents together, so that none is shut out; below 1 a server pauses. */
  private static final double MIN_TOTAL_LIMIT = 6;

  /**
   * A response slower than this many times the unhurried time says that the server has too much in
   * hand.
   */
  private static final double SLOW_MULTIPLE = 1.45;

  /**
   * Never let the unhurried time excuse answers slower than this part of the time wanted. Danger:
   * where the work alone often takes half that time, a smaller part finds idle servers slow and
   * shuts them.
   */
  private static final double SLOW_TIMEOUT_FRACTION = 0.65;

  /** To a light agent a response within this part of the aim is never slow. */
  private static final double FAST_TARGET_FRACTION = 0.4;

  /**
   * After a slow answer: even at as many as an unhurried server has above the quantile. Danger:
   * works vary, and where fewer slow answers outweigh the fast, the limits of idle servers sink to
   * the least.
   */
  private static final double LIMIT_DECREMENT =
      LIMIT_INCREMENT * LatencyTracker.QUANTILE / (1 - LatencyTracker.QUANTILE);

  /** How much slower than the class a server may be by nature before its answers count as slow. */
  private static final double MAX_NATURAL_SLOWNESS = 2;

  private final LoadBalancerContext agent;
  private final LatencyTracker latencies;
  private final SlowStart slowStart;
  private final EndpointHealthChecker health;

  Admission(
      LoadBalancerContext agent,
      LatencyTracker latencies,
      SlowStart slowStart,
      EndpointHealthChecker health) {
    this.agent = agent;
    this.latencies = latencies;
    this.slowStart = slowStart;
    this.health = health;
  }

  /** Gives listed servers that have none a first limit; so many agents have one in their subset. */
  void startLimits(int subset) {
    double subsetFraction = Math.min(1, (double) subset / Math.max(1, agent.listed.size()));
    for (Endpoint target : agent.listed) {
      target.limit =
          target.limit == 0
              ? INITIAL_LIMIT / (agent.settings.agents() * subsetFraction)
              : target.limit;
    }
  }

  boolean hasCapacity(Endpoint target, long now) {
    return target.inFlight < Math.max(1, (int) target.limit)
        && now >= target.backoffUntil
        && (!target.isWarmingUp(now) || slowStart.availableRequests(target, now) >= 1);
  }

  void recordOutcome(PendingRequest req, Endpoint target, Outcome outcome, long elapsed, long now) {
    if (outcome == Outcome.CANCELLED || outcome == Outcome.NEVER_SENT) {
      return; // says nothing about the server
    }
    boolean failed = outcome != Outcome.OK && outcome != Outcome.FULL;
    target.health.requestEnded(now, failed);
    if (outcome == Outcome.OK) {
      target.respondedSinceProbe = true;
      target.consecutiveFailures = 0;
      target.respondedAt = now;
      slowStart.responseReceived(target, now);
      latencies.recordLatency(req, target, elapsed, now);
      req.state.served++;
      target.responseRate =
          LatencyTracker.responseRate(target, now) + 1.0 * SECOND / LatencyTracker.RATE_PERIOD;
    } else if (outcome == Outcome.CONNECT_FAILED && target.consecutiveFailures > 0) {
      slowStart.connectionLost(target, now); // one alone may be a full table of connections
    }
    if (outcome != Outcome.OK
        && (outcome != Outcome.TIMEOUT || now - elapsed > target.respondedAt)) {
      // Danger: a server that fails at once always has the fewest in flight and would draw
      // everything;
      // and of many agents none sends an unresponsive server enough to fill the window. But one
      // failure of
      // another kind between answers is no reason: with one in ten half the servers would rest.
      int previousFailures =
          outcome == Outcome.TIMEOUT ? target.consecutiveFailures : target.consecutiveFailures - 1;
      if (previousFailures >= 0) {
        long typicalTime =
            (long) Math.max(req.state.typicalLatency, (double) agent.settings.tick());
        target.backoffUntil = now + (typicalTime << previousFailures);
      }
      target.consecutiveFailures = Math.min(MAX_BACKOFF_DOUBLINGS, target.consecutiveFailures + 1);
    }
    // Danger: a connection that breaks says nothing about room; to make less room for each leaves
    // servers
    // idle behind a network that resets now and then.
    // Nor does a time-out while others are answered: heavy requests would close every server to the
    // rest.
    boolean overloadSignal =
        outcome != Outcome.ERROR
            && outcome != Outcome.RESET
            && (outcome != Outcome.TIMEOUT || now - elapsed > target.respondedAt);
    if (outcome == Outcome.OK ? isSlow(req, target, elapsed) : overloadSignal) {
      // In proportion where it is low: one slow answer must not close a server to a light agent.
      double decrease =
          elapsed > req.state.type.latencyTarget() ? LATE_LOW_LIMIT_DECREASE : LOW_LIMIT_DECREASE;
      double reducedLimit =
          target.limit > LOW_LIMIT ? target.limit - LIMIT_DECREMENT : decrease * target.limit;
      target.limit = Math.max(Math.min(1, MIN_TOTAL_LIMIT / agent.settings.agents()), reducedLimit);
    } else if (outcome == Outcome.OK && 2 * (target.inFlight + 1) >= target.limit) {
      target.limit += LIMIT_INCREMENT;
    }
    if (target.limit < 1) { // Danger: with many agents one each is too much for a small server
      target.backoffUntil =
          Math.max(target.backoffUntil, now + (long) (elapsed * (1 / target.limit - 1)));
    }
    if (failed && health.available(target, now)) {
      health.ejectIfFailing(target, now);
    }
  }

  /**
   * Whether a response was slow for its class and its server's nature. Danger: where the aim leaves
   * room for many times the work, a short queue does no harm, and to pause for it leaves servers
   * idle; so does holding small machines to the pace of the large ones. Danger: a light agent sees
   * the few answers of one class for so long that it takes a jam for their usual time; all classes
   * together are known before.
   */
  private boolean isSlow(PendingRequest req, Endpoint target, long elapsed) {
    QuantileEstimator times = latencies.of(req.state);
    double naturalSlowness =
        target.slownessQuantile.known()
            ? Math.max(1, Math.min(MAX_NATURAL_SLOWNESS, target.slownessQuantile.lowest()))
            : 1;
    double maxElapsed = SLOW_TIMEOUT_FRACTION * (req.endAt - req.arrivedAt);
    return elapsed
        > Math.max(
            target.limit > LOW_LIMIT ? 0 : FAST_TARGET_FRACTION * req.state.type.latencyTarget(),
            times.known()
                ? Math.min(maxElapsed, SLOW_MULTIPLE * naturalSlowness * times.lowest())
                : maxElapsed);
  }
}
