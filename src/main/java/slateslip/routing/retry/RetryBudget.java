package slateslip.routing.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * The share of one data plane in the retry budget of one service.
 *
 * <p>The bounds hold over all data planes without communication between them: each data plane
 * limits its retries to the ratio of its own requests plus an equal share of the slack. A margin is
 * kept on both because backends receive and count a request slightly later than a data plane sends
 * it.
 */
public final class RetryBudget {
  private final RetryBounds bounds;
  private final long startMicros;

  /**
   * Fraction of the bound that is used. The rest covers retries that a backend counts in another
   * window than this data plane does.
   */
  private final double usedFraction;

  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  /**
   * Creates a budget from which nothing has been spent.
   *
   * @param startMicros start time of the process on the steady clock, in microseconds
   */
  public RetryBudget(RetryBounds bounds, RoutingPolicy policy, long startMicros) {
    this.bounds = bounds;
    this.startMicros = startMicros;
    this.usedFraction = policy.value(RoutingParameter.RETRY_BUDGET_FRACTION);
  }

  /** Counts a request of a client, which raises the number of permitted retries by the ratio. */
  public void countRequest(long nowMicros) {
    requests.addLast(nowMicros);
    removeExpired(nowMicros);
  }

  /**
   * Charges one retry if the budget permits it.
   *
   * @param dataPlanes number of data planes that share the slack equally
   * @return whether the retry was charged and may be sent
   */
  public boolean tryCharge(long nowMicros, int dataPlanes) {
    removeExpired(nowMicros);
    double slack = bounds.slack() / dataPlanes * usableSlackFraction(nowMicros);
    double allowed = usedFraction * (bounds.ratio() * requests.size() + slack);
    if (retries.size() + 1 > allowed) {
      return false;
    }
    retries.addLast(nowMicros);
    return true;
  }

  /**
   * Returns the fraction of the slack that this process may use, which grows from 0 to 1 during the
   * first window after the start. The process does not know how many retries its predecessor sent
   * in the current window. A process that restarts repeatedly must therefore not start with the
   * whole slack each time.
   */
  private double usableSlackFraction(long nowMicros) {
    return Math.min(1, (double) (nowMicros - startMicros) / bounds.windowMicros());
  }

  private void removeExpired(long nowMicros) {
    long start = nowMicros - bounds.windowMicros();
    removeBefore(requests, start);
    removeBefore(retries, start);
  }

  private static void removeBefore(Deque<Long> times, long start) {
    while (!times.isEmpty() && times.peekFirst() < start) {
      times.removeFirst();
    }
  }
}
