package slateslip.loadbalancer;

/** Which class of requests goes first where room is short. */
final class ClassPriorities {
  private static final long SECOND = 1_000_000;

  /** How far back the counts of requests come and served look, for ranking the classes. */
  private static final long RANK_PERIOD = 2 * SECOND;

  private final LoadBalancerContext agent;
  private final RequestClasses classes;
  private long rankedAt;

  ClassPriorities(LoadBalancerContext agent, RequestClasses classes, long now) {
    this.agent = agent;
    this.classes = classes;
    this.rankedAt = now;
  }

  /** Orders the classes by what a unit of their work adds to the goal, as measured now. */
  void rank(long now) {
    double fade = Math.exp(-(double) (now - rankedAt) / RANK_PERIOD);
    rankedAt = now;
    classes.order().removeIf(state -> state.held.isEmpty() && !classes.current().contains(state));
    double all = 0;
    RequestClassState worst = classes.order().get(0);
    for (RequestClassState state : classes.order()) {
      state.came *= fade;
      state.served *= fade;
      all += state.came * state.type.worth() * unit(state);
      if (state.served * worst.came < worst.served * state.came) {
        worst = state;
      }
    }
    for (RequestClassState state : classes.order()) {
      double each = state.type.worth() * unit(state) / Math.max(all, Double.MIN_NORMAL);
      state.value = (agent.settings.goal().whole() + agent.settings.goal().worstWindow()) * each;
      if (state == worst) {
        state.value += agent.settings.goal().worstClass() / Math.max(state.came, Double.MIN_NORMAL);
      }
      state.value /= Math.max(state.typical, 1);
    }
    classes.order().sort((a, b) -> Double.compare(b.value, a.value));
  }

  /** What one request of a class weighs: its work where worth is counted by work. */
  private double unit(RequestClassState state) {
    return agent.settings.worthByWork() ? state.typical : 1;
  }
}
