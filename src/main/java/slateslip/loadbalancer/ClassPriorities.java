package slateslip.loadbalancer;

/** Orders the request classes by priority for times when capacity is short. */
final class ClassPriorities {
  private static final long SECOND = 1_000_000;

  /** Decay time of the counts of arrived and served requests by which the classes are ranked. */
  private static final long RATE_PERIOD = 2 * SECOND;

  private final LoadBalancerContext context;
  private final RequestClasses classes;
  private long updatedAt;

  ClassPriorities(LoadBalancerContext context, RequestClasses classes, long now) {
    this.context = context;
    this.classes = classes;
    this.updatedAt = now;
  }

  /** Orders the classes by the current value that a unit of their work adds to the goal. */
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
          (context.settings.goal().overall() + context.settings.goal().worstWindow()) * classShare;
      if (state == worst) {
        state.value +=
            context.settings.goal().worstClass() / Math.max(state.arrivals, Double.MIN_NORMAL);
      }
      state.value /= Math.max(state.typicalLatency, 1);
    }
    classes.byPriority().sort((a, b) -> Double.compare(b.value, a.value));
  }

  /** Returns the weight of one request of a class: its latency where value is counted by work. */
  private double weightPerRequest(RequestClassState state) {
    return context.settings.valueByWork() ? state.typicalLatency : 1;
  }
}
