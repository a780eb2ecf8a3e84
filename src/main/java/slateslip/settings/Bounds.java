package slateslip.settings;

/**
 * Numeric limits that the deployment must keep ({@code bounds.*}). All times are in milliseconds,
 * including those that the settings file gives in seconds.
 *
 * @param seedLagMillis maximum age of the information in a list of seed addresses
 * @param addressReuseMillis time after the end of a backend before its address may be assigned to
 *     another backend
 * @param contactMillis time without failures after which a machine counts as in contact
 * @param acknowledgeTimeoutMillis maximum time until a valid configuration change is acknowledged
 * @param syncMillis time after the return of a machine during which the machine still counts as
 *     lost
 * @param drainTimeoutMillis time after which no more requests may reach a draining backend
 * @param gracePeriodMillis time between SIGTERM and SIGKILL
 * @param lossSlackMillis time after the last byte of a request within which the connection of the
 *     request may still be closed without a response
 * @param configurationApplyMillis time after which an acknowledged configuration is in force
 * @param rollbackSlackMillis tolerance of the check that a machine never returns to an older
 *     configuration version
 * @param maxSkewMillis added to {@code configurationApplyMillis} while the group of control agents
 *     is unstable
 * @param closed whether data planes accept API keys only while they hold a lease on the newest
 *     configuration
 * @param revokeTimeoutMillis time after which a revoked API key is rejected
 * @param retryBudgetRatio number of retries allowed, as a fraction of the number of requests
 * @param retryWindowMillis length of the window over which the retry budget is counted
 * @param retryBudgetSlack number of additional retries allowed in a window
 * @param quotaWindowMillis length of the window over which quotas are counted
 * @param quotaOvershoot fraction by which a quota may be exceeded in a window
 * @param quotaSlack number of additional units allowed in a window
 * @param recoveryMillis maximum time until requests are served again after a failure of the whole
 *     system
 * @param maxEventDelayMillis maximum time between the arrival of a backend's event and its
 *     forwarding to the client
 * @param rereadWindowMillis window within which reading a prompt part again counts as a cost
 */
public record Bounds(
    long seedLagMillis,
    long addressReuseMillis,
    long contactMillis,
    long acknowledgeTimeoutMillis,
    long syncMillis,
    long drainTimeoutMillis,
    long gracePeriodMillis,
    long lossSlackMillis,
    long configurationApplyMillis,
    long rollbackSlackMillis,
    long maxSkewMillis,
    boolean closed,
    long revokeTimeoutMillis,
    double retryBudgetRatio,
    long retryWindowMillis,
    double retryBudgetSlack,
    long quotaWindowMillis,
    double quotaOvershoot,
    double quotaSlack,
    long recoveryMillis,
    long maxEventDelayMillis,
    long rereadWindowMillis) {

  private static final String PREFIX = "bounds.";

  /**
   * Reads the bounds. A missing bound gets the value of the documented deployments as its default.
   */
  static Bounds read(KeyReader keys) {
    return new Bounds(
        seconds(keys, "seed_lag_s", 3),
        seconds(keys, "addr_reuse_s", 2),
        millis(keys, "contact_ms", 3_000),
        millis(keys, "ack_timeout_ms", 4_000),
        seconds(keys, "sync_s", 4),
        millis(keys, "drain_timeout_ms", 2_000),
        seconds(keys, "grace_period_s", 8),
        millis(keys, "loss_slack_ms", 200),
        millis(keys, "config_apply_ms", 2_000),
        millis(keys, "rollback_slack_ms", 250),
        millis(keys, "skew_bound_ms", 5_000),
        keys.flag(PREFIX + "closed", false),
        millis(keys, "revoke_timeout_ms", 5_000),
        keys.number(PREFIX + "retry_budget_ratio", 0.2),
        seconds(keys, "retry_window_s", 10),
        keys.number(PREFIX + "retry_budget_slack", 52),
        seconds(keys, "quota_window_s", 8),
        keys.number(PREFIX + "quota_overshoot", 0.1),
        keys.number(PREFIX + "quota_slack", 0),
        seconds(keys, "recovery_s", 12),
        millis(keys, "pass_ms", 120),
        seconds(keys, "again_s", 10));
  }

  private static long millis(KeyReader keys, String name, double fallback) {
    return Math.round(keys.number(PREFIX + name, fallback));
  }

  private static long seconds(KeyReader keys, String name, double fallback) {
    return Math.round(1_000 * keys.number(PREFIX + name, fallback));
  }
}
