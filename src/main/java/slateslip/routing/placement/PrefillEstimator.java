package slateslip.routing.placement;

import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * Estimates the first-token latency at the engines of one service as a base time plus a time per
 * token that needs prefill. Both are learned from measured latencies, starting with the initial
 * values of the policy.
 *
 * <p>A measured latency may include queueing that this data plane cannot observe and that can only
 * increase it. The estimator therefore tracks a quantile below the median. The size of each step
 * depends on the sign of the error but not on its magnitude, so that one very late response changes
 * the estimate no more than any other response. The estimates stay within a fixed factor of their
 * initial values, which limits the effect of wrong measurements.
 */
public final class PrefillEstimator {
  /**
   * Cost of a million pairs of tokens, expressed as a number of tokens to prefill. The value is
   * about the same for engines of any speed.
   */
  private static final double TOKENS_PER_MILLION_PAIRS = 23.5;

  /** Quantile of the measured latencies that is estimated. */
  private static final double QUANTILE = 0.35;

  private static final double INITIAL_STEP = 0.5;
  private static final double MIN_STEP = 0.02;
  private static final double MAX_FACTOR = 8;

  private final double priorBaseMillis;
  private final double priorMillisPerToken;
  private double baseMillis;
  private double millisPerToken;
  private long samples;

  /** Creates an estimator with the initial values of the policy. */
  public PrefillEstimator(RoutingPolicy policy) {
    priorBaseMillis = policy.value(RoutingParameter.PRIOR_BASE_MILLIS);
    priorMillisPerToken = 1 / policy.value(RoutingParameter.PRIOR_TOKENS_PER_MILLI);
    baseMillis = priorBaseMillis;
    millisPerToken = priorMillisPerToken;
  }

  /**
   * Returns the expected first-token latency, in microseconds, of a request that does not wait at
   * the backend.
   */
  public long micros(PrefillWork work) {
    return (long) (1_000 * (baseMillis + millisPerToken * weightedTokens(work)));
  }

  /**
   * Updates the estimate with the measured first-token latency, in microseconds, of a request that
   * presumably did not wait at the backend.
   */
  public void learn(PrefillWork work, long measuredMicros) {
    samples++;
    double prefillMillis = millisPerToken * weightedTokens(work);
    double expectedMillis = baseMillis + prefillMillis;
    boolean exceedsEstimate = (double) measuredMicros > 1_000 * expectedMillis;
    double direction = exceedsEstimate ? QUANTILE : QUANTILE - 1;
    double step = Math.max(MIN_STEP, INITIAL_STEP / Math.sqrt((double) samples)) * direction;
    double prefillShare = prefillMillis / expectedMillis;
    millisPerToken = clamp(millisPerToken * Math.exp(step * prefillShare), priorMillisPerToken);
    baseMillis = clamp(baseMillis * Math.exp(step * (1 - prefillShare)), priorBaseMillis);
  }

  private static double weightedTokens(PrefillWork work) {
    return work.newTokens() + TOKENS_PER_MILLION_PAIRS * work.millionPairs();
  }

  private static double clamp(double value, double initial) {
    return Math.max(initial / MAX_FACTOR, Math.min(initial * MAX_FACTOR, value));
  }
}
