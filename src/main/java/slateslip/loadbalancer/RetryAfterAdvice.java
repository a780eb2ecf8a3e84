package slateslip.loadbalancer;

/** Computes when a client whose request is refused should retry. */
final class RetryAfterAdvice {
  private static final long SECOND = 1_000_000;

  private final LoadBalancerContext context;
  private final RequestClasses classes;

  RetryAfterAdvice(LoadBalancerContext context, RequestClasses classes) {
    this.context = context;
    this.classes = classes;
  }

  /**
   * Returns the advised delay in microseconds: the time to send all queued requests at the current
   * response rate, at least one typical latency, and at most the permitted maximum or, without a
   * maximum, the client's total timeout. A longer delay would only keep clients away from servers
   * that have capacity.
   */
  long micros(PendingRequest pendingRequest, long now) {
    long permitted = context.settings.permits().maxRetryAfter();
    long maxDelay = permitted > 0 ? permitted : pendingRequest.type.timeout();
    double responsesPerSecond =
        context.listed.stream().mapToDouble(each -> LatencyTracker.responseRate(each, now)).sum();
    long queuedAhead =
        1 + classes.byPriority().stream().mapToLong(each -> each.queued.size()).sum();
    double wait = responsesPerSecond == 0 ? maxDelay : queuedAhead / responsesPerSecond * SECOND;
    return (long)
        Math.min(
            (double) maxDelay,
            Math.max(
                (double) context.settings.tick(),
                Math.max(wait, pendingRequest.state.typicalLatency)));
  }
}
