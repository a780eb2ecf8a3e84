package slateslip.routing.placement;

/**
 * The work of an engine before the first event of a request.
 *
 * @param newTokens prompt tokens that are not cached and need prefill
 * @param millionPairs pairs of a token to prefill and a token before it in the prompt, in millions
 */
public record PrefillWork(long newTokens, double millionPairs) {
  /** No prefill work, or unknown work. */
  public static final PrefillWork NONE = new PrefillWork(0, 0);

  private static final double PAIRS_PER_MILLION = 1e6;

  /**
   * Returns the work for a prompt whose first {@code cachedTokens} tokens are in the engine's
   * cache.
   */
  public static PrefillWork of(long promptTokens, long cachedTokens) {
    long newTokens = Math.max(0, promptTokens - cachedTokens);
    double pairs = newTokens * (cachedTokens + newTokens / 2.0);
    return new PrefillWork(newTokens, pairs / PAIRS_PER_MILLION);
  }
}
