package slateslip.loadbalancer;

/** How many servers an agent draws from. */
final class SubsetSizer {
  /**
   * Servers of the own zone that a light agent draws from: two to compare, and as many may fail.
   */
  static final int LEAST = 3;

  /** And of other zones, where its own has no room: two to compare. */
  static final int FAR = 2;

  /** Agents that must share a server on average, so that the random subsets load it evenly. */
  private static final int SHARERS = 20;

  /** Servers in the subset for each one that this agent's requests would keep busy. */
  private static final double SPREAD = 4;

  private final LoadBalancerContext agent;

  /** The unhurried time of the requests that came, as a sum that fades. */
  private double busy;

  private long busyAt;

  SubsetSizer(LoadBalancerContext agent) {
    this.agent = agent;
  }

  /** A request came that takes this long where nothing hurries. */
  void requestCame(double unhurried) {
    busy += unhurried;
  }

  /**
   * From how many servers an agent draws: few while it sends little, more with the work it sends.
   * Danger: many light agents that each use every server fill the servers' connection tables, pay a
   * handshake for nearly every request, and none sees enough of one server to judge it. What is out
   * does not count: it grows in a jam, and the jam with it.
   */
  int spread(int least, long now) {
    busy *= Math.exp(-(double) (now - busyAt) / LatencyTracker.RATE_PERIOD);
    busyAt = now;
    return Math.max(subset(least), (int) (SPREAD * busy / LatencyTracker.RATE_PERIOD));
  }

  /** From how many an idle agent draws, at the least this many. */
  int subset(int least) {
    return Math.max(least, SHARERS * agent.listed.size() / agent.settings.agents());
  }
}
