package slateslip.routing.retry;

/**
 * What all data planes together may send to a service beyond the first arrival of each request.
 *
 * @param ratio of the requests within the window ({@code bounds.retry_budget_ratio})
 * @param windowMicros length of the sliding window ({@code bounds.retry_window_s})
 * @param slack arrivals above that ({@code bounds.retry_budget_slack})
 */
public record RetryBounds(double ratio, long windowMicros, double slack) {
  /** What holds where the settings name no bounds: those of both small deployments. */
  public static final RetryBounds DEFAULT = new RetryBounds(0.2, 10_000_000, 52);
}
