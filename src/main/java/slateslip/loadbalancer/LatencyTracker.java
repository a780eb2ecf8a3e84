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
  private static final double STRETCH_BLEND = 0.4;

  /** A single answer moves a server's slowness by no more than this, for works have heavy tails. */
  private static final double STRETCH_MAX = 5;

  /** A quantile of all answer times, which stands in for a class that has been seen too seldom. */
  private final QuantileEstimator allTimes = new QuantileEstimator(QUANTILE);

  /** By kind of server, what {@link ListedEndpoint#stretch} is for one. */
  private final Map<Integer, Double> kindStretch = new HashMap<>();

  /** The answer times of a class, or of all where it has been seen too seldom. */
  QuantileEstimator of(RequestClassState state) {
    return state.times.known() ? state.times : allTimes;
  }

  /**
   * An answer's time, against the class's and in part the request's own cost, for a hint may be
   * rough.
   */
  void learnTime(PendingRequest req, Endpoint target, long spent, long now) {
    RequestClassState state = req.state;
    double heavy = state.meanCost == 0 ? 1 : 0.5 + 0.5 * req.request.cost() / state.meanCost;
    double ratio = state.typical == 0 ? 1 : Math.min(STRETCH_MAX, spent / (state.typical * heavy));
    double before = stretch(target, now);
    target.stretch = before + STRETCH_BLEND * (ratio - before);
    target.stretchAt = now;
    kindStretch.merge(target.listed.kind(), ratio, (old, one) -> old + BLEND / 2 * (one - old));
    state.typical += (state.typical == 0 ? 1 : BLEND / 2) * (spent - state.typical);
    state.unhurried =
        state.unhurried == 0 ? state.typical : Math.min(state.unhurried, state.typical);
    state.times.add((double) spent);
    allTimes.add((double) spent);
    if (state.times.known()) {
      target.pace.add(spent / state.times.lowest());
    }
  }

  /** A server's answer times against the usual: its own lately, else those of its kind. */
  double stretch(Endpoint target, long now) {
    double usual = kindStretch.getOrDefault(target.listed.kind(), 1.0);
    return usual
        + (target.stretch - usual) * Math.exp(-(double) (now - target.stretchAt) / RATE_PERIOD);
  }

  /** Answers a second from this server, as a mean that fades. */
  static double rate(Endpoint target, long now) {
    target.answerRate *= Math.exp(-(double) (now - target.answerRateAt) / RATE_PERIOD);
    target.answerRateAt = now;
    return target.answerRate;
  }

  /** Kinds go by their new positions. */
  void moveKinds(SettingsReload next) {
    Map<Integer, Double> stretches = Map.copyOf(kindStretch);
    kindStretch.keySet().removeIf(kind -> kind >= 0);
    stretches.forEach(
        (kind, stretch) -> {
          if (next.kind(kind) >= 0) {
            kindStretch.put(next.kind(kind), stretch);
          }
        });
  }
}
