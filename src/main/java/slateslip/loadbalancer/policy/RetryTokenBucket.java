package slateslip.loadbalancer.policy;

/**
 * How many further attempts may be sent: each request earns a share of one, and some are saved up,
 * so that retries never multiply an overload.
 */
public final class RetryTokenBucket {
  private final double earned;
  private final double maxTokens;
  private double saved;

  /**
   * An allowance that starts full.
   *
   * @param earned further attempts earned by each request
   * @param maxTokens what may be saved up of them
   */
  public RetryTokenBucket(double earned, double maxTokens) {
    this.earned = earned;
    this.maxTokens = maxTokens;
    this.saved = maxTokens;
  }

  /** A request has come. */
  public void earn() {
    saved = Math.min(maxTokens, saved + earned);
  }

  /** Whether a further attempt may be sent. */
  public boolean permits() {
    return saved >= 1;
  }

  /** Takes one further attempt; to be called only where {@link #permits} holds. */
  public void spend() {
    saved -= 1;
  }
}
