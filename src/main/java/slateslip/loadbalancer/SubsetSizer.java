package slateslip.loadbalancer;

/** How many servers an agent draws from. */
final class SubsetSizer {
  /**
   * Servers of the own zone that a light agent draws from: two to compare, and as many may fail.
   */
  static final int MIN_LOCAL = 3;

  /** And of other zones, where its own has no room: two to compare. */
  static final int MIN_REMOTE = 2;

  /** Agents that must share a server on average, so that the random subsets load it evenly. */
  private static final int MIN_AGENTS_PER_SERVER = 20;

  /** Servers in the subset for each one that this agent's requests would keep busy. */
  private static final double SERVERS_PER_BUSY_SERVER = 4;

  private final LoadBalancerContext agent;

  /** The unhurried time of the requests that came, as a sum that fades. */
  private double busyTime;

  private long busyUpdatedAt;

  SubsetSizer(LoadBalancerContext agent) {
    this.agent = agent;
  }

  /** A request came that takes this long where nothing hurries. */
  void requestArrived(double unloadedLatency) {
    busyTime += unloadedLatency;
  }

  /**
   * From how many servers an agent draws: few while it sends little, more with the work it sends.
   * Danger: many light agents that each use every server fill the servers' connection tables, pay a
   * handshake for nearly every request, and none sees enough of one server to judge it. What is out
   * does not count: it grows in a jam, and the jam with it.
   */
  int subsetSize(int minimum, long now) {
    busyTime *= Math.exp(-(double) (now - busyUpdatedAt) / LatencyTracker.RATE_PERIOD);
    busyUpdatedAt = now;
    return Math.max(
        idleSubsetSize(minimum),
        (int) (SERVERS_PER_BUSY_SERVER * busyTime / LatencyTracker.RATE_PERIOD));
  }

  /** From how many an idle agent draws, at the least this many. */
  int idleSubsetSize(int minimum) {
    return Math.max(minimum, MIN_AGENTS_PER_SERVER * agent.listed.size() / agent.settings.agents());
  }
}
