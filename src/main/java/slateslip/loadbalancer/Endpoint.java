package slateslip.loadbalancer;

import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.loadbalancer.policy.HealthParameters;

/** What one agent knows of one server. State only; others decide. */
final class Endpoint {
  final long id;

  /** Its line of the server list. */
  Server listing;

  /** Whether new requests may go to it at all: listed as ready. */
  boolean ready;

  /** Whether the list has it no more. */
  boolean removed;

  final BackendHealth health;
  boolean probePending;
  boolean respondedSinceProbe;

  /** This agent's attempts that are out. */
  int inFlight;

  /** How many it may have in flight at once; 0 until reckoned. */
  double limit;

  /** Its answer times against those of all servers, as a mean. */
  double slowdown = 1;

  /** When that was last measured. */
  long slowdownAt;

  /** A quantile of its response times, each as a multiple of its class's lowest. */
  final QuantileEstimator slownessQuantile = new QuantileEstimator(LatencyTracker.QUANTILE);

  /** When it last answered. */
  long respondedAt;

  /** Fast failures in a row, and until when it rests for them. */
  int consecutiveFailures;

  long backoffUntil;

  /** Start and end of the warm-up this agent believes in. */
  long warmupStart;

  long warmupEnd = Long.MIN_VALUE;

  /** Requests granted since it became cold, those sent or lost, and when that was reckoned. */
  double warmupGranted;

  double warmupSpent;
  long warmupUpdatedAt;

  /** A broken connection or a dead probe was seen and no response since. */
  boolean suspectedRestart;

  /** When that was first seen. */
  long suspectedAt;

  /** Answers a second, as a mean that fades, and when it was reckoned. */
  double responseRate;

  long responseRateAt;

  Endpoint(long id, HealthParameters parameters) {
    this.id = id;
    this.health = new BackendHealth(parameters);
  }

  /** Whether it may still be warming up. */
  boolean isWarmingUp(long now) {
    return now < warmupEnd;
  }

  int inFlight() {
    return inFlight;
  }
}
