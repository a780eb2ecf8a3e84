package slateslip.loadbalancer.policy;

/**
 * Token bucket for retries: each request earns part of a token and some tokens can be saved, so
 * that retries never multiply an overload.
 */
public final class RetryTokenBucket {
  private final double tokensPerRequest;
  private final double maxTokens;
  private double tokens;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerRequest the tokens that each request earns; a retry costs one token
   * @param maxTokens the capacity of the bucket
   */
  public RetryTokenBucket(double tokensPerRequest, double maxTokens) {
    this.tokensPerRequest = tokensPerRequest;
    this.maxTokens = maxTokens;
    this.tokens = maxTokens;
  }

  /** Records the arrival of a request, which earns tokens. */
  public void earn() {
    tokens = Math.min(maxTokens, tokens + tokensPerRequest);
  }

  /** Returns whether a retry may be sent. */
  public boolean permits() {
    return tokens >= 1;
  }

  /** Takes one token for a retry; call only if {@link #permits} returns true. */
  public void spend() {
    tokens -= 1;
  }
}
