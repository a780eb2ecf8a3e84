package slateslip.loadbalancer;

import java.util.ArrayDeque;
import java.util.Deque;
import slateslip.loadbalancer.LoadBalancer.Request;
import slateslip.loadbalancer.LoadBalancer.RequestClass;

/** What one agent knows of one class of requests. State only; others decide. */
final class RequestClassState {
  /** Ticks by which the time that first tries bring may differ. */
  private static final int SAME_TICKS = 4;

  /** Votes for that time at the most; half of them make it sure. */
  private static final int VOTES_MAX = 20;

  /** As the settings in force have it; requests that are open go by {@link PendingRequest#type}. */
  RequestClass type;

  /** Its requests that wait in this agent for want of room. */
  final Deque<PendingRequest> held = new ArrayDeque<>();

  /** Requests come and requests served, as counts that fade. */
  double came;

  double served;

  /** The mean answer time, and the lowest that it has been. */
  double typical;

  double unhurried;

  /** The mean of its requests' cost hints. */
  double meanCost;

  /** A quantile of its answer times. */
  final QuantileEstimator times;

  /** How long a request unserved here had waited: what a client's repeat has behind it. */
  double unservedWait;

  /** The time that most requests bring, a first try's, by a running majority vote. */
  private long usualLeft;

  private int usualVotes;

  /** What a unit of its work adds to the goal, as last measured. */
  double value;

  RequestClassState(RequestClass type, double quantile) {
    this.type = type;
    this.times = new QuantileEstimator(quantile);
  }

  /** Counts one of its requests that has come. */
  void came(Request request) {
    meanCost += (meanCost == 0 ? 1 : LatencyTracker.BLEND / 2) * (request.cost() - meanCost);
    came++;
  }

  /**
   * What a client's repeat has behind it. First tries of a class all bring the same time; a request
   * that brings another is a repeat, and what it lacks of the time for all tries is spent.
   */
  long spentBefore(Request request, long now, long tick) {
    long left = request.deadline() - now;
    boolean usual = Math.abs(left - usualLeft) <= SAME_TICKS * tick;
    if (usual) {
      usualVotes = Math.min(VOTES_MAX, usualVotes + 1);
    } else if (--usualVotes < 0) {
      usualLeft = left;
      usualVotes = 1;
    }
    boolean unsure = usual || usualVotes < VOTES_MAX / 2;
    long lacking = unsure ? 0 : Math.max(0, type.giveUp() - left);
    return Math.max(lacking, request.repeated() ? (long) unservedWait : 0);
  }
}
