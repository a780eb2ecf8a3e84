package slateslip.loadbalancer;

/** Which class of requests goes first where capacity is short. */
final class ClassPriorities {
  private static final long SECOND = 1_000_000;

  /** How far back the counts of requests come and served look, for ranking the classes. */
  private static final long RATE_PERIOD = 2 * SECOND;

  private final LoadBalancerContext agent;
  private final RequestClasses classes;
  private long updatedAt;

  ClassPriorities(LoadBalancerContext agent, RequestClasses classes, long now) {
    this.agent = agent;
    this.classes = classes;
    this.updatedAt = now;
  }

  /** Orders the classes by what a unit of their work adds to the goal, as measured now. */
  void update(long now) {
    double decay = Math.exp(-(double) (now - updatedAt) / RATE_PERIOD);
    updatedAt = now;
    classes
        .byPriority()
        .removeIf(state -> state.queued.isEmpty() && !classes.current().contains(state));
    double totalWeight = 0;
    RequestClassState worst = classes.byPriority().get(0);
    for (RequestClassState state : classes.byPriority()) {
      state.arrivals *= decay;
      state.served *= decay;
      totalWeight += state.arrivals * state.type.value() * weightPerRequest(state);
      if (state.served * worst.arrivals < worst.served * state.arrivals) {
        worst = state;
      }
    }
    for (RequestClassState state : classes.byPriority()) {
      double classShare =
          state.type.value() * weightPerRequest(state) / Math.max(totalWeight, Double.MIN_NORMAL);
      state.value =
          (agent.settings.goal().overall() + agent.settings.goal().worstWindow()) * classShare;
      if (state == worst) {
        state.value +=
            agent.settings.goal().worstClass() / Math.max(state.arrivals, Double.MIN_NORMAL);
      }
      state.value /= Math.max(state.typicalLatency, 1);
    }
    classes.byPriority().sort((a, b) -> Double.compare(b.value, a.value));
  }

  /** What one request of a class weighs: its work where worth is counted by work. */
  private double weightPerRequest(RequestClassState state) {
    return agent.settings.valueByWork() ? state.typicalLatency : 1;
  }
}
