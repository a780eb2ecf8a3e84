package slateslip.loadbalancer.policy;

import java.util.Collection;

/**
 * Health of one backend as one agent sees it: an active state set by the agent's probes and a
 * passive state set by the outcomes of requests. The backend is available unless either state is
 * Unhealthy. If no backend of a service is available, the caller uses all backends that may get
 * requests.
 */
public final class BackendHealth {
  /** State of the active or of the passive check. */
  public enum State {
    /** No result is known. */
    UNKNOWN,
    /** The last probe succeeded. */
    HEALTHY,
    /** The backend gets no requests. */
    UNHEALTHY
  }

  private final HealthParameters parameters;
  private final FailureWindow window = new FailureWindow();
  private State active = State.UNKNOWN;
  private State passive = State.UNKNOWN;
  private int probeFailures;
  private long reactivateAt;

  /** Creates the health of a backend without any results. */
  public BackendHealth(HealthParameters parameters) {
    this.parameters = parameters;
  }

  /** Records a successful probe; returns true if the probe ends an Unhealthy active state. */
  public boolean probeSucceeded() {
    boolean recovered = active == State.UNHEALTHY;
    probeFailures = 0;
    active = State.HEALTHY;
    return recovered;
  }

  /** Records a failed probe; returns true if the probe makes the active state Unhealthy. */
  public boolean probeFailed() {
    probeFailures++;
    if (probeFailures < parameters.failedProbes() || active == State.UNHEALTHY) {
      return false;
    }
    active = State.UNHEALTHY;
    return true;
  }

  /** Records a probe without reply from a backend that served requests since the last probe. */
  public void probeInconclusive() {
    probeFailures = 0;
  }

  /** Records the outcome of a request in the sliding window; {@code now} is in microseconds. */
  public void requestEnded(long now, boolean failed) {
    window.add(now, parameters.window(), failed);
  }

  /** Returns whether the failure share of the requests in the window is above the limit. */
  public boolean failsTooOften() {
    int total = window.total();
    return total >= parameters.minimumRequests()
        && window.failed() > parameters.failureShare() * total;
  }

  /**
   * Makes the passive state Unhealthy if too many requests fail here, and clearly more than at the
   * peers. When all backends fail alike, an ejection would move load to the rest; and a few
   * requests prove little.
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

  /** Resets the passive state and the window if an ejection is over; true if this call did so. */
  public boolean reactivateIfDue(long now) {
    if (passive != State.UNHEALTHY || now < reactivateAt) {
      return false;
    }
    passive = State.UNKNOWN;
    window.clear();
    return true;
  }

  /** Returns whether neither state is Unhealthy; see {@link #reactivateIfDue}. */
  public boolean available() {
    return active != State.UNHEALTHY && passive != State.UNHEALTHY;
  }

  /** Resets the active state to Unknown, for example when probing ends. */
  public void resetActive() {
    active = State.UNKNOWN;
    probeFailures = 0;
  }

  /** Resets both states and the window, for example after a restart of the backend. */
  public void reset() {
    resetActive();
    passive = State.UNKNOWN;
    window.clear();
  }

  /** Returns the state that the probes determine. */
  public State active() {
    return active;
  }

  /** Returns the state that the outcomes of requests determine. */
  public State passive() {
    return passive;
  }

  /** Returns the number of consecutive failed probes. */
  public int probeFailures() {
    return probeFailures;
  }

  /** Returns the number of requests in the window, as of the last update. */
  public int requestsInWindow() {
    return window.total();
  }

  /** Returns the number of failed requests in the window, as of the last update. */
  public int failuresInWindow() {
    return window.failed();
  }
}
