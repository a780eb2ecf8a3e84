package slateslip.routing.placement;

/**
 * What an engine has to do before the first event of a request.
 *
 * @param newTokens prompt tokens that it has to read
 * @param millionPairs pairs of such a token and one before it, in millions
 */
public record PrefillWork(long newTokens, double millionPairs) {
  /** Nothing has to be read, or nothing is known of it. */
  public static final PrefillWork NONE = new PrefillWork(0, 0);

  private static final double PAIRS_PER_MILLION = 1e6;

  /** Work for a prompt of which the first tokens are in the engine's cache. */
  public static PrefillWork of(long promptTokens, long cachedTokens) {
    long newTokens = Math.max(0, promptTokens - cachedTokens);
    double pairs = newTokens * (cachedTokens + newTokens / 2.0);
    return new PrefillWork(newTokens, pairs / PAIRS_PER_MILLION);
  }
}
