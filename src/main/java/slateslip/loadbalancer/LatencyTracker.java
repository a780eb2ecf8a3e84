package slateslip.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/** Measures response times and rates by class, server and kind of server. */
final class LatencyTracker {
  private static final long SECOND = 1_000_000;

  /**
   * The tracked quantile of a class's response times; the lowest value that this quantile has had
   * is the unloaded latency.
   */
  static final double QUANTILE = 0.8;

  /** Decay time of the measured rates, in microseconds. */
  static final long RATE_PERIOD = 5 * SECOND;

  /** Weight of a new measurement in a running mean. */
  static final double EWMA_WEIGHT = 0.1;

  /**
   * Weight of one response in its server's slowdown: a lightly loaded agent gets few responses,
   * which soon become outdated.
   */
  private static final double SLOWDOWN_EWMA_WEIGHT = 0.4;

  /**
   * Limits the effect of a single response on its server's slowdown, because the work of requests
   * has a heavy-tailed distribution.
   */
  private static final double MAX_SLOWDOWN = 5;

  /**
   * Quantile of the response times of all classes; replaces that of a class with too few responses.
   */
  private final QuantileEstimator allLatencies = new QuantileEstimator(QUANTILE);

  /** By kind of server, the mean counterpart of {@link Endpoint#slowdown}. */
  private final Map<Integer, Double> slowdownByKind = new HashMap<>();

  /**
   * Returns the quantile of a class's response times, or of all classes if the class has had too
   * few responses.
   */
  QuantileEstimator forClass(RequestClassState state) {
    return state.latencies.isReliable() ? state.latencies : allLatencies;
  }

  /**
   * Records a response time. The slowdown compares the time with the mean of the class, scaled only
   * in part by the request's own cost, because cost hints may be rough.
   */
  void recordLatency(PendingRequest req, Endpoint target, long elapsed, long now) {
    RequestClassState state = req.state;
    double costFactor = state.meanCost == 0 ? 1 : 0.5 + 0.5 * req.request.cost() / state.meanCost;
    double ratio =
        state.typicalLatency == 0
            ? 1
            : Math.min(MAX_SLOWDOWN, elapsed / (state.typicalLatency * costFactor));
    double previousSlowdown = slowdown(target, now);
    target.slowdown = previousSlowdown + SLOWDOWN_EWMA_WEIGHT * (ratio - previousSlowdown);
    target.slowdownAt = now;
    slowdownByKind.merge(
        target.listing.kind(), ratio, (old, one) -> old + EWMA_WEIGHT / 2 * (one - old));
    state.typicalLatency +=
        (state.typicalLatency == 0 ? 1 : EWMA_WEIGHT / 2) * (elapsed - state.typicalLatency);
    state.unloadedLatency =
        state.unloadedLatency == 0
            ? state.typicalLatency
            : Math.min(state.unloadedLatency, state.typicalLatency);
    state.latencies.add((double) elapsed);
    allLatencies.add((double) elapsed);
    if (state.latencies.isReliable()) {
      target.slownessQuantile.add(elapsed / state.latencies.lowest());
    }
  }

  /**
   * Returns the server's response times relative to the usual: the server's recent value, which
   * decays to the value of the server's kind.
   */
  double slowdown(Endpoint target, long now) {
    double kindSlowdown = slowdownByKind.getOrDefault(target.listing.kind(), 1.0);
    return kindSlowdown
        + (target.slowdown - kindSlowdown)
            * Math.exp(-(double) (now - target.slowdownAt) / RATE_PERIOD);
  }

  /** Returns the decaying mean of the server's responses per second to this agent. */
  static double responseRate(Endpoint target, long now) {
    target.responseRate *= Math.exp(-(double) (now - target.responseRateAt) / RATE_PERIOD);
    target.responseRateAt = now;
    return target.responseRate;
  }

  /** Moves each kind's slowdown to the new position of the kind. */
  void remapKinds(SettingsReload next) {
    Map<Integer, Double> slowdowns = Map.copyOf(slowdownByKind);
    slowdownByKind.keySet().removeIf(kind -> kind >= 0);
    slowdowns.forEach(
        (kind, slowdown) -> {
          if (next.kind(kind) >= 0) {
            slowdownByKind.put(next.kind(kind), slowdown);
          }
        });
  }
}
