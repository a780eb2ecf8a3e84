package slateslip.loadbalancer.policy;

import java.util.Collection;

/**
 * Health of one backend as one agent sees it: an active state by the agent's own probes and a
 * passive one by how its requests ended. The backend is available unless either is Unhealthy; where
 * no backend of a service is available, the caller falls back to all that may get requests at all.
 */
public final class BackendHealth {
  /** The state of one of the two checks. */
  public enum State {
    /** Nothing is known. */
    UNKNOWN,
    /** The last probe was answered. */
    HEALTHY,
    /** Nothing is sent while it lasts. */
    UNHEALTHY
  }

  private final HealthParameters parameters;
  private final FailureWindow window = new FailureWindow();
  private State active = State.UNKNOWN;
  private State passive = State.UNKNOWN;
  private int probeFailures;
  private long reactivateAt;

  /** Of a backend of which nothing is known. */
  public BackendHealth(HealthParameters parameters) {
    this.parameters = parameters;
  }

  /** Takes a probe that was answered well; true if this ended an Unhealthy active state. */
  public boolean probeSucceeded() {
    boolean recovered = active == State.UNHEALTHY;
    probeFailures = 0;
    active = State.HEALTHY;
    return recovered;
  }

  /** Takes a probe that failed; true if this made the active state Unhealthy. */
  public boolean probeFailed() {
    probeFailures++;
    if (probeFailures < parameters.failedProbes() || active == State.UNHEALTHY) {
      return false;
    }
    active = State.UNHEALTHY;
    return true;
  }

  /** Takes a probe without a reply from a backend that has answered requests since the last one. */
  public void probeInconclusive() {
    probeFailures = 0;
  }

  /** Counts how a request ended, in the sliding window. */
  public void requestEnded(long now, boolean failed) {
    window.add(now, parameters.window(), failed);
  }

  /** Whether too large a share of the requests in the window failed. */
  public boolean failsTooOften() {
    int total = window.total();
    return total >= parameters.minimumRequests()
        && window.failed() > parameters.failureShare() * total;
  }

  /**
   * Makes the passive state Unhealthy when too much fails here, and more than at the peers. Danger:
   * when everything fails alike, removing backends pushes their load onto the rest; and a few
   * requests prove little. What peers fail would have to be exceeded clearly.
   *
   * @param peers other backends that get requests of the same kind; may be empty
   * @return whether the passive state has become Unhealthy
   */
  public boolean ejectIfFailing(long now, Collection<BackendHealth> peers) {
    if (passive == State.UNHEALTHY || !failsTooOften()) {
      return false;
    }
    int peerTotal = 1;
    int peerFailed = 0;
    for (BackendHealth peer : peers) {
      peer.window.slideTo(now, parameters.window());
      peerTotal += peer.window.total();
      peerFailed += peer.window.failed();
    }
    double expected = window.total() * (double) peerFailed / peerTotal;
    double excess = parameters.deviations() * Math.sqrt(Math.max(1, expected));
    if (window.failed() <= expected + excess) {
      return false;
    }
    passive = State.UNHEALTHY;
    reactivateAt = now + parameters.reactivation();
    return true;
  }

  /** Resets the passive state and the window once its time is over; true if this did it. */
  public boolean reactivateIfDue(long now) {
    if (passive != State.UNHEALTHY || now < reactivateAt) {
      return false;
    }
    passive = State.UNKNOWN;
    window.clear();
    return true;
  }

  /** Available unless either state is Unhealthy; see {@link #reactivateIfDue}. */
  public boolean available() {
    return active != State.UNHEALTHY && passive != State.UNHEALTHY;
  }

  /** Forgets what the probes have said, as where probing ends. */
  public void resetActive() {
    active = State.UNKNOWN;
    probeFailures = 0;
  }

  /** Forgets everything, as for a backend that has started again. */
  public void reset() {
    resetActive();
    passive = State.UNKNOWN;
    window.clear();
  }

  /** The state by probes. */
  public State active() {
    return active;
  }

  /** The state by requests. */
  public State passive() {
    return passive;
  }

  /** Probes that failed in a row. */
  public int probeFailures() {
    return probeFailures;
  }

  /** Requests in the window, as last counted. */
  public int requestsInWindow() {
    return window.total();
  }

  /** Of them those that failed. */
  public int failuresInWindow() {
    return window.failed();
  }
}
