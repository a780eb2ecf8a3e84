package slateslip.loadbalancer;

/** When discovery is asked again, where the load balancer has to say so. */
final class DiscoveryPoller {
  private static final long SECOND = 1_000_000;

  /**
   * Two waits in a row before discovery is asked again take this at the most: of the protocol's 6 s
   * from a change, or the return of discovery, until it counts as told, the last second is for the
   * answer.
   */
  private static final long MAX_DOUBLE_DELAY = 5 * SECOND;

  /** And each at the least: a discovery that rejects calls is not to be flooded with more. */
  private static final long MIN_POLL_DELAY = SECOND / 2;

  /**
   * The part of the time that the settings leave for asking over which the first calls are spread.
   */
  private static final int INITIAL_POLL_SPREAD = 4;

  private final LoadBalancerContext agent;

  /** The last wait before discovery was asked again; half of two while it answers. */
  private long pollDelay = MAX_DOUBLE_DELAY / 2;

  DiscoveryPoller(LoadBalancerContext agent) {
    this.agent = agent;
  }

  /**
   * Asks for the first time. Danger: agents started together call together, and discovery turns
   * most of them away.
   */
  void start() {
    long spread = agent.settings.obligations().discoveryWithin() / INITIAL_POLL_SPREAD;
    schedule(agent.random.nextLong(spread + 1));
  }

  /**
   * Discovery could not be reached. Danger: waits that grow leave an old list in use; equal ones
   * keep the agents in step, and those who were rejected together are rejected again.
   */
  void retryLater() {
    pollDelay =
        MIN_POLL_DELAY + agent.random.nextLong(MAX_DOUBLE_DELAY - pollDelay - MIN_POLL_DELAY + 1);
    schedule(pollDelay);
  }

  /** Discovery has answered. */
  void responded() {
    pollDelay = MAX_DOUBLE_DELAY / 2;
  }

  private void schedule(long delay) {
    agent.actions.timer(DefaultLoadBalancer.TIMER_POLL_DISCOVERY, delay);
  }
}
