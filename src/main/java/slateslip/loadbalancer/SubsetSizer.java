package slateslip.loadbalancer;

/** Computes how many servers an agent selects from. */
final class SubsetSizer {
  /** Minimum subset in the own zone: two servers to compare, and one remains if two fail. */
  static final int MIN_LOCAL = 3;

  /** Minimum subset in other zones, used when the own zone has no capacity: two to compare. */
  static final int MIN_REMOTE = 2;

  /** Average number of agents per server with which random subsets load the servers evenly. */
  private static final int MIN_AGENTS_PER_SERVER = 20;

  /** Servers in the subset per server that this agent's requests alone would keep busy. */
  private static final double SERVERS_PER_BUSY_SERVER = 4;

  private final LoadBalancerContext context;

  /** Decaying sum of the unloaded latencies of arrived requests, in microseconds. */
  private double busyTime;

  private long busyUpdatedAt;

  SubsetSizer(LoadBalancerContext context) {
    this.context = context;
  }

  /** Records a request; the latency of its class without load is in microseconds. */
  void requestArrived(double unloadedLatency) {
    busyTime += unloadedLatency;
  }

  /**
   * Returns the subset size, which grows with the work that the agent sends. If many lightly loaded
   * agents used every server, they would fill the servers' connection tables, need a handshake for
   * nearly every request and see too little of one server to judge it. Requests in flight do not
   * count: they increase in an overload, and a larger subset would amplify the overload.
   */
  int subsetSize(int minimum, long now) {
    busyTime *= Math.exp(-(double) (now - busyUpdatedAt) / LatencyTracker.RATE_PERIOD);
    busyUpdatedAt = now;
    return Math.max(
        idleSubsetSize(minimum),
        (int) (SERVERS_PER_BUSY_SERVER * busyTime / LatencyTracker.RATE_PERIOD));
  }

  /** Returns the subset size of an idle agent, at least {@code minimum}. */
  int idleSubsetSize(int minimum) {
    return Math.max(
        minimum, MIN_AGENTS_PER_SERVER * context.listed.size() / context.settings.agents());
  }
}
