package slateslip.loadbalancer;

/** When a client whose request is rejected should come back. It reckons; others decide. */
final class RetryAfterAdvice {
  private static final long SECOND = 1_000_000;

  private final LoadBalancerContext agent;
  private final RequestClasses classes;

  RetryAfterAdvice(LoadBalancerContext agent, RequestClasses classes) {
    this.agent = agent;
    this.classes = classes;
  }

  /**
   * When a refused client should come back: once those that wait now have been sent, as answers
   * come now, and not before one answer's time; nobody is told to wait longer than a client would
   * for all attempts. Danger: a time that is only long keeps clients away from servers that have
   * capacity.
   */
  long micros(PendingRequest pendingRequest, long now) {
    long permitted = agent.settings.permits().maxRetryAfter();
    long maxDelay = permitted > 0 ? permitted : pendingRequest.type.timeout();
    double responsesPerSecond =
        agent.listed.stream().mapToDouble(each -> LatencyTracker.responseRate(each, now)).sum();
    long queuedAhead =
        1 + classes.byPriority().stream().mapToLong(each -> each.queued.size()).sum();
    double wait = responsesPerSecond == 0 ? maxDelay : queuedAhead / responsesPerSecond * SECOND;
    return (long)
        Math.min(
            (double) maxDelay,
            Math.max(
                (double) agent.settings.tick(),
                Math.max(wait, pendingRequest.state.typicalLatency)));
  }
}
