package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.loadbalancer.policy.HealthParameters;

/** State that one agent keeps of one server; the decisions are made elsewhere. */
final class Endpoint {
  final long id;

  /** The server's latest entry in the server list. */
  Server listing;

  /** Whether the server may get new requests: the list reports the server as ready. */
  boolean ready;

  /** Whether the server list no longer contains the server. */
  boolean removed;

  final BackendHealth health;
  boolean probePending;
  boolean respondedSinceProbe;

  /** This agent's attempts in flight at the server. */
  int inFlight;

  /** Limit of this agent's requests in flight at the server; 0 until the first limit is set. */
  double limit;

  /** Running mean of the server's response times relative to those of all servers. */
  double slowdown = 1;

  /** Time of the last change of {@link #slowdown}, in microseconds. */
  long slowdownAt;

  /** Quantile of the server's response times, each as a multiple of its class's lowest quantile. */
  final QuantileEstimator slownessQuantile = new QuantileEstimator(LatencyTracker.QUANTILE);

  /** Time of the last successful response, in microseconds. */
  long respondedAt;

  /** Consecutive failures, which double the backoff. */
  int consecutiveFailures;

  /** End of the backoff after failures, in microseconds; nothing is sent before. */
  long backoffUntil;

  /** Start of the warm-up that this agent assumes, in microseconds. */
  long warmupStart;

  /** End of the warm-up that this agent assumes, in microseconds. */
  long warmupEnd = Long.MIN_VALUE;

  /** Requests that this agent has been granted since the warm-up began; may be fractional. */
  double warmupGranted;

  /** Granted requests that were sent or have expired. */
  double warmupSpent;

  /** Time of the last change of {@link #warmupGranted}, in microseconds. */
  long warmupUpdatedAt;

  /** Whether a failed connection or probe was seen and no response since. */
  boolean suspectedRestart;

  /** Time at which {@link #suspectedRestart} was set, in microseconds. */
  long suspectedAt;

  /** Decaying mean of the server's responses per second to this agent. */
  double responseRate;

  /** Time of the last change of {@link #responseRate}, in microseconds. */
  long responseRateAt;

  Endpoint(long id, HealthParameters parameters) {
    this.id = id;
    this.health = new BackendHealth(parameters);
  }

  /** Returns whether the server may still be warming up. */
  boolean isWarmingUp(long now) {
    return now < warmupEnd;
  }

  int inFlight() {
    return inFlight;
  }
}
