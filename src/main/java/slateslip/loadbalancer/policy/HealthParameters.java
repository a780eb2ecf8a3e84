package slateslip.loadbalancer.policy;

/**
 * Thresholds at which the health of a backend changes.
 *
 * @param failedProbes consecutive failed probes that make the active state Unhealthy
 * @param window length of the sliding window over requests, in microseconds
 * @param minimumRequests requests in the window that are needed to judge the passive state
 * @param failureShare share of failed requests above which the passive state is Unhealthy
 * @param deviations number of standard deviations by which the failures must exceed the number that
 *     the peers' failure share predicts
 * @param reactivation time after which an Unhealthy passive state becomes Unknown again, in
 *     microseconds
 */
public record HealthParameters(
    int failedProbes,
    long window,
    int minimumRequests,
    double failureShare,
    double deviations,
    long reactivation) {
  private static final long SECOND = 1_000_000;

  /** The defaults of the health checks of YARP, whose passive policy ignores the peers. */
  public static final HealthParameters YARP =
      new HealthParameters(2, 60 * SECOND, 10, 0.3, 0, 60 * SECOND);

  /**
   * Checks the parameters.
   *
   * @throws IllegalArgumentException if a count or time is not positive, the window is shorter than
   *     its number of slots, the failure share is not between 0 and 1, or the deviations are
   *     negative
   */
  public HealthParameters {
    if (failedProbes < 1
        || window < FailureWindow.SLOTS
        || minimumRequests < 1
        || reactivation < 1) {
      throw new IllegalArgumentException("health check counts and times must be positive");
    }
    if (!(failureShare >= 0 && failureShare <= 1) || !(deviations >= 0)) {
      throw new IllegalArgumentException(
          "the failure share must be between 0 and 1, and the deviations must not be negative");
    }
  }
}
