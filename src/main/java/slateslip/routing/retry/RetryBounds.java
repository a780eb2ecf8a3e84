package slateslip.routing.retry;

/**
 * Limits the retries that all data planes together may send to a service within a sliding window.
 *
 * @param ratio permitted retries per request of a client within the window ({@code
 *     bounds.retry_budget_ratio})
 * @param windowMicros length of the sliding window in microseconds ({@code bounds.retry_window_s})
 * @param slack number of retries that is permitted in addition ({@code bounds.retry_budget_slack})
 */
public record RetryBounds(double ratio, long windowMicros, double slack) {
  /**
   * Bounds that apply if the settings contain none; they equal those of the two small deployments.
   */
  public static final RetryBounds DEFAULT = new RetryBounds(0.2, 10_000_000, 52);
}
