package slateslip.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * What answers take, and how many come, by class, server and kind of server. It measures; others
 * decide.
 */
final class LatencyTracker {
  private static final long SECOND = 1_000_000;

  /**
   * The quantile of a class's answer times that is followed; its lowest value is the unhurried
   * time.
   */
  static final double QUANTILE = 0.8;

  /** How far back the measured answer rates look. */
  static final long RATE_PERIOD = 5 * SECOND;

  /** Weight of one new measurement in a running mean. */
  static final double BLEND = 0.1;

  /**
   * Weight of one answer in its server's slowness: a light agent sees few, and they soon say
   * nothing.
   */
  private static final double SLOWDOWN_BLEND = 0.4;

  /** A single answer moves a server's slowness by no more than this, for works have heavy tails. */
  private static final double MAX_SLOWDOWN = 5;

  /** A quantile of all answer times, which stands in for a class that has been seen too seldom. */
  private final QuantileEstimator allLatencies = new QuantileEstimator(QUANTILE);

  /** By kind of server, what {@link ListedEndpoint#slowdown} is for one. */
  private final Map<Integer, Double> slowdownByKind = new HashMap<>();

  /** The response times of a class, or of all where it has been seen too seldom. */
  QuantileEstimator of(RequestClassState state) {
    return state.latencies.known() ? state.latencies : allLatencies;
  }

  /**
   * A response's time, against the class's and in part the request's own cost, for a hint may be
   * rough.
   */
  void recordLatency(PendingRequest req, Endpoint target, long elapsed, long now) {
    RequestClassState state = req.state;
    double costFactor = state.meanCost == 0 ? 1 : 0.5 + 0.5 * req.request.cost() / state.meanCost;
    double ratio =
        state.typicalLatency == 0
            ? 1
            : Math.min(MAX_SLOWDOWN, elapsed / (state.typicalLatency * costFactor));
    double previousSlowdown = slowdown(target, now);
    target.slowdown = previousSlowdown + SLOWDOWN_BLEND * (ratio - previousSlowdown);
    target.slowdownAt = now;
    slowdownByKind.merge(target.listing.kind(), ratio, (old, one) -> old + BLEND / 2 * (one - old));
    state.typicalLatency +=
        (state.typicalLatency == 0 ? 1 : BLEND / 2) * (elapsed - state.typicalLatency);
    state.unloadedLatency =
        state.unloadedLatency == 0
            ? state.typicalLatency
            : Math.min(state.unloadedLatency, state.typicalLatency);
    state.latencies.add((double) elapsed);
    allLatencies.add((double) elapsed);
    if (state.latencies.known()) {
      target.slownessQuantile.add(elapsed / state.latencies.lowest());
    }
  }

  /** A server's answer times against the usual: its own lately, else those of its kind. */
  double slowdown(Endpoint target, long now) {
    double kindSlowdown = slowdownByKind.getOrDefault(target.listing.kind(), 1.0);
    return kindSlowdown
        + (target.slowdown - kindSlowdown)
            * Math.exp(-(double) (now - target.slowdownAt) / RATE_PERIOD);
  }

  /** Answers a second from this server, as a mean that fades. */
  static double responseRate(Endpoint target, long now) {
    target.responseRate *= Math.exp(-(double) (now - target.responseRateAt) / RATE_PERIOD);
    target.responseRateAt = now;
    return target.responseRate;
  }

  /** Kinds go by their new positions. */
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
