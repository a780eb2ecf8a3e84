package slateslip.loadbalancer.policy;

/**
 * When a backend's health changes.
 *
 * @param failedProbes failed probes in a row that make the active state Unhealthy
 * @param window length of the sliding window over requests, in microseconds
 * @param minimumRequests requests in the window before the passive state is judged
 * @param failureShare share of failed requests above which the passive state is Unhealthy
 * @param deviations by how many standard deviations the failures must exceed what the peers' share
 *     predicts
 * @param reactivation after this the passive state is Unknown again, in microseconds
 */
public record HealthParameters(
    int failedProbes,
    long window,
    int minimumRequests,
    double failureShare,
    double deviations,
    long reactivation) {
  private static final long SECOND = 1_000_000;

  /** The defaults of YARP's health checks, whose passive policy does not look at the peers. */
  public static final HealthParameters YARP =
      new HealthParameters(2, 60 * SECOND, 10, 0.3, 0, 60 * SECOND);

  /**
   * Parameters that can be judged by.
   *
   * @throws IllegalArgumentException if a count or time is not positive, or the share is no share
   */
  public HealthParameters {
    if (failedProbes < 1
        || window < FailureWindow.SLOTS
        || minimumRequests < 1
        || reactivation < 1) {
      throw new IllegalArgumentException("counts and times of health must be positive");
    }
    if (!(failureShare >= 0 && failureShare <= 1) || !(deviations >= 0)) {
      throw new IllegalArgumentException("the failure share must lie between 0 and 1");
    }
  }
}
