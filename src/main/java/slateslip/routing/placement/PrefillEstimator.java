package slateslip.routing.placement;

import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * Estimates the time to the first event at the engines of one service: a base time, and a time for
 * each token that has to be read. Both are learnt from measured times, beginning with the figures
 * that the policy gives.
 *
 * <p>Measured times contain waits that this data plane does not know of, and these only add to
 * them. So the estimate follows a quantile below the median, by steps that depend on the sign of an
 * error and not on its size: one late response moves it as little as any other. It stays within a
 * fixed factor of its first figures, so that wrong measurements cannot take it further.
 */
public final class PrefillEstimator {
  /** Cost of a million pairs of tokens, in tokens; about the same for engines of any speed. */
  private static final double TOKENS_PER_MILLION_PAIRS = 23.5;

  /** Quantile of the measured times that is estimated. */
  private static final double QUANTILE = 0.35;

  private static final double FIRST_STEP = 0.5;
  private static final double SMALLEST_STEP = 0.02;
  private static final double MAX_FACTOR = 8;

  private final double priorBaseMillis;
  private final double priorMillisPerToken;
  private double baseMillis;
  private double millisPerToken;
  private long samples;

  /** An estimate without any measurement. */
  public PrefillEstimator(RoutingPolicy policy) {
    priorBaseMillis = policy.value(RoutingParameter.PRIOR_BASE_MILLIS);
    priorMillisPerToken = 1 / policy.value(RoutingParameter.PRIOR_TOKENS_PER_MILLI);
    baseMillis = priorBaseMillis;
    millisPerToken = priorMillisPerToken;
  }

  /** Expected time to the first event of a request that does not wait. */
  public long micros(PrefillWork work) {
    return (long) (1_000 * (baseMillis + millisPerToken * weightedTokens(work)));
  }

  /** Takes the measured time of a request that did not wait as far as is known. */
  public void learn(PrefillWork work, long tookMicros) {
    samples++;
    double readMillis = millisPerToken * weightedTokens(work);
    double expectedMillis = baseMillis + readMillis;
    boolean longer = (double) tookMicros > 1_000 * expectedMillis;
    double direction = longer ? QUANTILE : QUANTILE - 1;
    double step = Math.max(SMALLEST_STEP, FIRST_STEP / Math.sqrt((double) samples)) * direction;
    double readShare = readMillis / expectedMillis;
    millisPerToken = bounded(millisPerToken * Math.exp(step * readShare), priorMillisPerToken);
    baseMillis = bounded(baseMillis * Math.exp(step * (1 - readShare)), priorBaseMillis);
  }

  private static double weightedTokens(PrefillWork work) {
    return work.newTokens() + TOKENS_PER_MILLION_PAIRS * work.millionPairs();
  }

  private static double bounded(double value, double initial) {
    return Math.max(initial / MAX_FACTOR, Math.min(initial * MAX_FACTOR, value));
  }
}
