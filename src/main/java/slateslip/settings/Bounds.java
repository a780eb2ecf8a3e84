package slateslip.settings;

/**
 * Figures of the deployment's rules ({@code bounds.*}). Times are in milliseconds, also where the
 * file gives seconds.
 *
 * @param seedLagMillis by how much a list of control addresses may be out of date
 * @param addressReuseMillis after a backend's end its address may be given to another after this
 * @param contactMillis a machine is in contact after this time without trouble
 * @param acknowledgeTimeoutMillis a valid change is acknowledged within this time
 * @param syncMillis time for which a machine still counts as lost after it is back
 * @param drainTimeoutMillis after this time no request reaches a backend that is draining
 * @param gracePeriodMillis between SIGTERM and SIGKILL
 * @param lossSlackMillis a request may still be closed unanswered within this time of its last byte
 * @param configurationApplyMillis after this time an acknowledged configuration is in force
 * @param rollbackSlackMillis tolerance of the check that a machine never goes back
 * @param maxSkewMillis added to {@code configurationApplyMillis} while the core is unstable
 * @param closed whether data planes serve keys only by a lease on the newest configuration
 * @param revokeTimeoutMillis after this time a key that was taken away is refused
 * @param retryBudgetRatio repeats allowed, as a share of requests
 * @param retryWindowMillis window of the retry budget
 * @param retryBudgetSlack repeats allowed on top in a window
 * @param quotaWindowMillis window of quotas
 * @param quotaOvershoot fraction by which a quota may be exceeded
 * @param quotaSlack units allowed on top in a window
 * @param recoveryMillis after this time requests are served again after a fault of everything
 * @param passMillis longest time between a backend's event and its passing on
 * @param againMillis a prompt part that is read again within this time is priced
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
    long passMillis,
    long againMillis) {

  private static final String PREFIX = "bounds.";

  /** Reads the bounds; a missing one gets the figure of the deployments that are documented. */
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
