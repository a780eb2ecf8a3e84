package slateslip.loadbalancer;

/** Schedules the polls of discovery, where the settings leave polling to the load balancer. */
final class DiscoveryPoller {
  private static final long SECOND = 1_000_000;

  /**
   * Limits the sum of two successive poll delays: the protocol allows 6 s from a change, or from
   * the return of discovery, until agents must have the list; the last second is for the response.
   */
  private static final long MAX_TWO_DELAYS = 5 * SECOND;

  /** Minimum poll delay, so that agents do not flood a discovery service that rejects calls. */
  private static final long MIN_POLL_DELAY = SECOND / 2;

  /**
   * Divisor of the time allowed for the first poll; the first polls of the agents are spread over
   * the quotient.
   */
  private static final int INITIAL_POLL_DIVISOR = 4;

  private final LoadBalancerContext context;

  /** The last poll delay in microseconds; half of the limit for two while discovery responds. */
  private long pollDelay = MAX_TWO_DELAYS / 2;

  DiscoveryPoller(LoadBalancerContext context) {
    this.context = context;
  }

  /**
   * Schedules the first poll after a random delay: agents that are started together would otherwise
   * poll together, and discovery would reject most of the calls.
   */
  void start() {
    long spread = context.settings.obligations().discoveryWithin() / INITIAL_POLL_DIVISOR;
    schedule(context.random.nextLong(spread + 1));
  }

  /**
   * Schedules a poll after discovery could not be reached. Growing delays would leave an old list
   * in use; equal delays would keep rejected agents in step, and they would be rejected again.
   */
  void retryLater() {
    pollDelay =
        MIN_POLL_DELAY + context.random.nextLong(MAX_TWO_DELAYS - pollDelay - MIN_POLL_DELAY + 1);
    schedule(pollDelay);
  }

  /** Resets the poll delay after a response of discovery. */
  void responded() {
    pollDelay = MAX_TWO_DELAYS / 2;
  }

  private void schedule(long delay) {
    context.actions.timer(DefaultLoadBalancer.TIMER_POLL_DISCOVERY, delay);
  }
}
