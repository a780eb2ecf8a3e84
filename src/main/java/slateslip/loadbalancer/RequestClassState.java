package slateslip.loadbalancer;

import java.util.ArrayDeque;
import java.util.Deque;
import slateslip.loadbalancer.LoadBalancer.Request;
import slateslip.loadbalancer.LoadBalancer.RequestClass;

/** What one agent knows of one class of requests. State only; others decide. */
final class RequestClassState {
  /** Ticks by which the time that first attempts bring may differ. */
  private static final int SAME_TICKS = 4;

  /** Votes for that time at the most; half of them make it sure. */
  private static final int VOTES_MAX = 20;

  /** As the settings in force have it; requests that are open go by {@link PendingRequest#type}. */
  RequestClass type;

  /** Its requests that wait in this agent for lack of capacity. */
  final Deque<PendingRequest> queued = new ArrayDeque<>();

  /** Requests come and requests served, as counts that fade. */
  double arrivals;

  double served;

  /** The mean answer time, and the lowest that it has been. */
  double typicalLatency;

  double unloadedLatency;

  /** The mean of its requests' cost hints. */
  double meanCost;

  /** A quantile of its response times. */
  final QuantileEstimator latencies;

  /** How long a request unserved here had waited: what a client's repeat has behind it. */
  double unservedWait;

  /** The time that most requests bring, a first attempt's, by a running majority vote. */
  private long typicalTimeLeft;

  private int typicalTimeVotes;

  /** What a unit of its work adds to the goal, as last measured. */
  double value;

  RequestClassState(RequestClass type, double quantile) {
    this.type = type;
    this.latencies = new QuantileEstimator(quantile);
  }

  /** Counts one of its requests that has come. */
  void recordArrival(Request request) {
    meanCost += (meanCost == 0 ? 1 : LatencyTracker.BLEND / 2) * (request.cost() - meanCost);
    arrivals++;
  }

  /**
   * What a client's repeat has behind it. First tries of a class all bring the same time; a request
   * that brings another is a repeat, and what it lacks of the time for all attempts is spent.
   */
  long elapsedBeforeArrival(Request request, long now, long tick) {
    long timeLeft = request.deadline() - now;
    boolean isTypical = Math.abs(timeLeft - typicalTimeLeft) <= SAME_TICKS * tick;
    if (isTypical) {
      typicalTimeVotes = Math.min(VOTES_MAX, typicalTimeVotes + 1);
    } else if (--typicalTimeVotes < 0) {
      typicalTimeLeft = timeLeft;
      typicalTimeVotes = 1;
    }
    boolean uncertain = isTypical || typicalTimeVotes < VOTES_MAX / 2;
    long missingTime = uncertain ? 0 : Math.max(0, type.timeout() - timeLeft);
    return Math.max(missingTime, request.repeated() ? (long) unservedWait : 0);
  }
}
