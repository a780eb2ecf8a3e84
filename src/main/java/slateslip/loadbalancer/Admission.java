package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Outcome;

/** Limits this agent's requests in flight at each server, adapted to the server's responses. */
final class Admission {
  private static final long SECOND = 1_000_000;

  /**
   * Limits how often the backoff doubles; the first backoff is the typical latency of the class.
   */
  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** Initial limit of an unknown server, summed over all agents. */
  private static final double INITIAL_LIMIT = 12;

  /** Added to a limit after a fast response while at least half of the limit is used. */
  private static final double LIMIT_INCREMENT = 0.2;

  /** Factor for a low limit after a slow response. */
  private static final double LOW_LIMIT_FACTOR = 0.3;

  /**
   * Factor for a low limit after a response that misses the latency target: an overloaded server
   * recovers only if all agents that share the server pause for seconds.
   */
  private static final double LATE_LOW_LIMIT_FACTOR = 0.1;

  /** Limit up to which an agent gets few responses from a server, so that one proves little. */
  private static final double LOW_LIMIT = 2;

  /**
   * Minimum sum of all agents' limits, so that no server is shut out. An agent whose limit is below
   * 1 pauses between its requests to the server.
   */
  private static final double MIN_TOTAL_LIMIT = 6;

  /**
   * A response slower than this multiple of the unloaded latency indicates an overloaded server.
   */
  private static final double SLOW_MULTIPLE = 1.45;

  /**
   * Fraction of the available time above which a response is slow, whatever the unloaded latency.
   * With a smaller fraction, idle servers would count as slow and be closed where the work alone
   * often takes half of the time.
   */
  private static final double SLOW_TIMEOUT_FRACTION = 0.65;

  /** At a low limit, a response within this fraction of the latency target is never slow. */
  private static final double FAST_TARGET_FRACTION = 0.4;

  /**
   * Subtracted from a limit after a slow response; balances the increments at an unloaded server,
   * where only the responses above the quantile are slow. Work varies: if fewer slow responses
   * outweighed the fast ones, the limits of idle servers would sink to the minimum.
   */
  private static final double LIMIT_DECREMENT =
      LIMIT_INCREMENT * LatencyTracker.QUANTILE / (1 - LatencyTracker.QUANTILE);

  /** Tolerated slowness of a server relative to its class, if all its responses are that slow. */
  private static final double MAX_INHERENT_SLOWNESS = 2;

  private final LoadBalancerContext context;
  private final LatencyTracker latencies;
  private final SlowStart slowStart;
  private final EndpointHealthChecker health;

  Admission(
      LoadBalancerContext context,
      LatencyTracker latencies,
      SlowStart slowStart,
      EndpointHealthChecker health) {
    this.context = context;
    this.latencies = latencies;
    this.slowStart = slowStart;
    this.health = health;
  }

  /** Sets the initial limit of new servers; each agent uses a subset of {@code subset} servers. */
  void initializeLimits(int subset) {
    double subsetFraction = Math.min(1, (double) subset / Math.max(1, context.listed.size()));
    for (Endpoint target : context.listed) {
      target.limit =
          target.limit == 0
              ? INITIAL_LIMIT / (context.settings.agents() * subsetFraction)
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
      return; // the outcome says nothing about the server
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
      slowStart.suspectRestart(target, now); // one failure may be a full connection table
    }
    if (outcome != Outcome.OK
        && (outcome != Outcome.TIMEOUT || now - elapsed > target.respondedAt)) {
      // A server that fails at once always has the fewest requests in flight and would attract all
      // requests; and no single one of many agents sends an unresponsive server enough to fill the
      // failure window. One failure of another kind between responses causes no backoff: otherwise,
      // with one failure in ten requests, half of the servers would back off.
      int previousFailures =
          outcome == Outcome.TIMEOUT ? target.consecutiveFailures : target.consecutiveFailures - 1;
      if (previousFailures >= 0) {
        long typicalTime =
            (long) Math.max(req.state.typicalLatency, (double) context.settings.tick());
        target.backoffUntil = now + (typicalTime << previousFailures);
      }
      target.consecutiveFailures = Math.min(MAX_BACKOFF_DOUBLINGS, target.consecutiveFailures + 1);
    }
    // A broken connection says nothing about capacity: lower limits would leave servers idle behind
    // a network that resets connections. A timeout while other requests are answered is no sign
    // either: heavy requests would close every server to the rest.
    boolean overloadSignal =
        outcome != Outcome.ERROR
            && outcome != Outcome.RESET
            && (outcome != Outcome.TIMEOUT || now - elapsed > target.respondedAt);
    if (outcome == Outcome.OK ? isSlow(req, target, elapsed) : overloadSignal) {
      // A low limit shrinks in proportion: one slow response must not close a server to an agent.
      double factor =
          elapsed > req.state.type.latencyTarget() ? LATE_LOW_LIMIT_FACTOR : LOW_LIMIT_FACTOR;
      double reducedLimit =
          target.limit > LOW_LIMIT ? target.limit - LIMIT_DECREMENT : factor * target.limit;
      target.limit =
          Math.max(Math.min(1, MIN_TOTAL_LIMIT / context.settings.agents()), reducedLimit);
    } else if (outcome == Outcome.OK && 2 * (target.inFlight + 1) >= target.limit) {
      target.limit += LIMIT_INCREMENT;
    }
    if (target.limit < 1) { // one request of each of many agents overloads a small server
      target.backoffUntil =
          Math.max(target.backoffUntil, now + (long) (elapsed * (1 / target.limit - 1)));
    }
    if (failed && health.available(target, now)) {
      health.ejectIfFailing(target, now);
    }
  }

  /**
   * Returns whether a response was slow for its class and server. A short queue is harmless if the
   * latency target is many times the work; a pause would leave servers idle, as would a demand that
   * small machines are as fast as large ones. A lightly loaded agent sees few responses of one
   * class and could mistake their latency under overload for the usual one; the latencies of all
   * classes together are known sooner.
   */
  private boolean isSlow(PendingRequest req, Endpoint target, long elapsed) {
    QuantileEstimator times = latencies.forClass(req.state);
    double inherentSlowness =
        target.slownessQuantile.isReliable()
            ? Math.max(1, Math.min(MAX_INHERENT_SLOWNESS, target.slownessQuantile.lowest()))
            : 1;
    double maxElapsed = SLOW_TIMEOUT_FRACTION * (req.endAt - req.arrivedAt);
    return elapsed
        > Math.max(
            target.limit > LOW_LIMIT ? 0 : FAST_TARGET_FRACTION * req.state.type.latencyTarget(),
            times.isReliable()
                ? Math.min(maxElapsed, SLOW_MULTIPLE * inherentSlowness * times.lowest())
                : maxElapsed);
  }
}
