package slateslip.loadbalancer;

import java.util.ArrayDeque;
import java.util.Deque;
import slateslip.loadbalancer.LoadBalancer.Request;
import slateslip.loadbalancer.LoadBalancer.RequestClass;

/** State that one agent keeps of one request class; the decisions are made elsewhere. */
final class RequestClassState {
  /** Tolerance in ticks within which two remaining times count as equal. */
  private static final int TOLERANCE_TICKS = 4;

  /** Limits the votes for the typical remaining time; half of the votes make the time certain. */
  private static final int MAX_VOTES = 20;

  /**
   * The class in the settings in force; pending requests use {@link PendingRequest#type} instead.
   */
  RequestClass type;

  /** The class's requests that are queued in this agent for lack of capacity. */
  final Deque<PendingRequest> queued = new ArrayDeque<>();

  /** Decaying count of the requests that arrived. */
  double arrivals;

  /** Decaying count of the requests that were served. */
  double served;

  /** Running mean of the response times, in microseconds. */
  double typicalLatency;

  /** The lowest value that {@link #typicalLatency} has had, in microseconds. */
  double unloadedLatency;

  /** Running mean of the cost hints of the class's requests. */
  double meanCost;

  /** Quantile of the class's response times, in microseconds. */
  final QuantileEstimator latencies;

  /**
   * Running mean of the time that requests spent here before they ended unserved, in microseconds:
   * the time a client has lost when the client's repeat arrives.
   */
  double unservedWait;

  /**
   * The remaining time of most requests, which is that of a first attempt; determined by a running
   * majority vote.
   */
  private long typicalTimeLeft;

  private int typicalTimeVotes;

  /**
   * Value that a unit of the class's work adds to the goal, as of the last update of the
   * priorities.
   */
  double value;

  RequestClassState(RequestClass type, double quantile) {
    this.type = type;
    this.latencies = new QuantileEstimator(quantile);
  }

  /** Records the arrival of one of the class's requests. */
  void recordArrival(Request request) {
    meanCost += (meanCost == 0 ? 1 : LatencyTracker.EWMA_WEIGHT / 2) * (request.cost() - meanCost);
    arrivals++;
  }

  /**
   * Returns the time in microseconds that a client has lost before this request arrived. First
   * attempts of a class all arrive with the same remaining time. A request with a different
   * remaining time is a repeat, and the difference to the total timeout has been spent.
   */
  long elapsedBeforeArrival(Request request, long now, long tick) {
    long timeLeft = request.deadline() - now;
    boolean isTypical = Math.abs(timeLeft - typicalTimeLeft) <= TOLERANCE_TICKS * tick;
    if (isTypical) {
      typicalTimeVotes = Math.min(MAX_VOTES, typicalTimeVotes + 1);
    } else if (--typicalTimeVotes < 0) {
      typicalTimeLeft = timeLeft;
      typicalTimeVotes = 1;
    }
    boolean uncertain = isTypical || typicalTimeVotes < MAX_VOTES / 2;
    long missingTime = uncertain ? 0 : Math.max(0, type.timeout() - timeLeft);
    return Math.max(missingTime, request.repeated() ? (long) unservedWait : 0);
  }
}
