package slateslip.routing.quota;

/**
 * Limits how far all data planes together may exceed a tenant's quota.
 *
 * @param windowMicros length of the sliding window in microseconds ({@code bounds.quota_window_s})
 * @param overshoot fraction of the quota that is permitted in addition to the quota ({@code
 *     bounds.quota_overshoot})
 * @param slack units that are permitted in addition to both ({@code bounds.quota_slack})
 */
public record QuotaBounds(long windowMicros, double overshoot, double slack) {
  /**
   * Bounds that apply if the settings contain none; they equal those of the two small deployments.
   */
  public static final QuotaBounds DEFAULT = new QuotaBounds(8_000_000, 0.1, 190_000);
}
