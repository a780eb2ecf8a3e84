package slateslip.routing.quota;

/**
 * How far a tenant's quota may be overshot, over all data planes together.
 *
 * @param windowMicros length of the sliding window ({@code bounds.quota_window_s})
 * @param overshoot part of the quota that may come on top ({@code bounds.quota_overshoot})
 * @param slack units that may come on top of that ({@code bounds.quota_slack})
 */
public record QuotaBounds(long windowMicros, double overshoot, double slack) {
  /** What holds where the settings name no bounds: those of both small deployments. */
  public static final QuotaBounds DEFAULT = new QuotaBounds(8_000_000, 0.1, 190_000);
}
