package slateslip.routing.health;

import java.util.Collection;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.loadbalancer.policy.HealthParameters;
import slateslip.routing.policy.Mechanism;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * Monitors the health of one backend: keeps the active and passive states of {@link BackendHealth},
 * decides when the backend is probed, and marks the backend as suspected to be down, usually before
 * either state changes.
 *
 * <p>A backend is suspected to be down if a connection to it fails, if it breaks two responses in a
 * row, or if it does not respond to a probe and sends nothing else in the meantime. A suspected
 * backend is avoided as long as others are available, and is probed frequently until anything is
 * received from it. Times are in microseconds.
 */
public final class BackendHealthMonitor {
  /**
   * Number of failed probes in a row that make a backend unhealthy. This and the next three
   * constants (the window, its minimum number of requests and its maximum fraction of failures) are
   * the defaults of YARP.
   */
  private static final int MAX_FAILED_PROBES = 2;

  private static final long WINDOW_MICROS = 60_000_000;
  private static final int MIN_REQUESTS = 10;
  private static final double MAX_FAILED_FRACTION = 0.3;

  /**
   * Number of standard deviations by which a backend's failures must exceed the number that the
   * failure rate of its peers predicts before the backend is ejected. Failures that affect all
   * backends of a service alike are not attributed to one of them.
   */
  private static final double MAX_DEVIATIONS = 1;

  private final BackendHealth health;
  private final RoutingPolicy policy;
  private final long suspectProbeMicros;
  private final long probeResponseMicros;
  private final ServiceDelay serviceDelay;
  private final double serviceDelayFactor;
  private final int maxConsecutiveBroken;
  private long lastActivityMicros;
  private long probeSentMicros;
  private boolean probePending;
  private boolean probeRequested;
  private boolean suspected;
  private int consecutiveBroken;

  /**
   * Creates the monitor of a backend that was registered at this time.
   *
   * @param serviceDelay delay of the backend's service, which extends the timeouts
   */
  public BackendHealthMonitor(long nowMicros, ServiceDelay serviceDelay, RoutingPolicy policy) {
    this.policy = policy;
    this.serviceDelay = serviceDelay;
    serviceDelayFactor =
        policy.uses(Mechanism.PATIENCE_UNDER_LOAD)
            ? policy.value(RoutingParameter.SERVICE_DELAY_FACTOR)
            : 0;
    health = new BackendHealth(parameters(policy));
    suspectProbeMicros = policy.micros(RoutingParameter.SUSPECT_PROBE_MILLIS);
    probeResponseMicros = policy.micros(RoutingParameter.PROBE_REPLY_MILLIS);
    maxConsecutiveBroken = (int) policy.value(RoutingParameter.BROKEN_IN_A_ROW);
    lastActivityMicros = nowMicros;
    probeSentMicros = nowMicros;
  }

  private static HealthParameters parameters(RoutingPolicy policy) {
    return new HealthParameters(
        MAX_FAILED_PROBES,
        WINDOW_MICROS,
        MIN_REQUESTS,
        MAX_FAILED_FRACTION,
        MAX_DEVIATIONS,
        policy.micros(RoutingParameter.REACTIVATION_MILLIS));
  }

  /** Returns whether neither the active nor the passive state is Unhealthy. */
  public boolean available(long nowMicros) {
    health.reactivateIfDue(nowMicros);
    return health.available();
  }

  /** Returns whether the backend is available and not suspected to be down. */
  public boolean trusted(long nowMicros) {
    return available(nowMicros) && !suspected;
  }

  /** Returns whether the backend is suspected to be down. */
  public boolean suspected() {
    return suspected;
  }

  /**
   * Returns the time at which anything was last received from the backend; the time of its
   * registration if nothing was.
   */
  public long lastActivityMicros() {
    return lastActivityMicros;
  }

  /** Records that something was received from the backend, which ends a suspicion. */
  public void activity(long nowMicros) {
    lastActivityMicros = nowMicros;
    suspected = false;
  }

  /** Records that a request ended with a complete response of the backend. */
  public void requestSucceeded(long nowMicros) {
    activity(nowMicros);
    consecutiveBroken = 0;
    health.requestEnded(nowMicros, false);
  }

  /**
   * Records a failed connection to the backend, which is then suspected to be down.
   *
   * @param peers health of the other backends of the service, for comparison
   */
  public void connectFailed(long nowMicros, Collection<BackendHealth> peers) {
    suspect();
    failed(nowMicros, peers);
  }

  /**
   * Records that a connection failed during a request or that the response was invalid.
   *
   * @param peers health of the other backends of the service, for comparison
   */
  public void requestBroken(long nowMicros, Collection<BackendHealth> peers) {
    consecutiveBroken++;
    if (consecutiveBroken >= maxConsecutiveBroken) {
      suspect();
    }
    probeRequested = true;
    failed(nowMicros, peers);
  }

  /**
   * Records that a request timed out.
   *
   * @param sentMicros time at which the request was sent; the backend is suspected to be down if
   *     nothing was received from it since that time
   * @param peers health of the other backends of the service, for comparison
   */
  public void timedOut(long nowMicros, long sentMicros, Collection<BackendHealth> peers) {
    if (lastActivityMicros < sentMicros) {
      suspect();
    }
    failed(nowMicros, peers);
  }

  /**
   * Requests a probe because the response to a request is overdue and nothing was received from the
   * backend in the meantime. The probe distinguishes a slow backend from a failed one.
   */
  public void requestProbe() {
    probeRequested = true;
  }

  /**
   * Returns whether a probe is due now.
   *
   * @param idleProbeMicros interval between two probes of an idle backend
   */
  public boolean probeDue(long nowMicros, long idleProbeMicros) {
    return !probePending && nowMicros >= probeDueMicros(idleProbeMicros);
  }

  private long probeDueMicros(long idleProbeMicros) {
    if (suspected || probeRequested || !health.available()) {
      return probeSentMicros + suspectProbeMicros;
    }
    return policy.uses(Mechanism.IDLE_PROBES)
        ? Math.max(probeSentMicros, lastActivityMicros) + idleProbeMicros
        : Long.MAX_VALUE;
  }

  /**
   * Returns the time of the next check of this backend, {@link Long#MAX_VALUE} if none is due.
   * Until then its health changes only if another event is recorded.
   *
   * @param idleProbeMicros interval between two probes of an idle backend
   */
  public long nextCheckMicros(long idleProbeMicros) {
    if (!probePending) {
      return probeDueMicros(idleProbeMicros);
    }
    boolean responded = lastActivityMicros > probeSentMicros;
    return suspected || responded
        ? Long.MAX_VALUE
        : probeSentMicros + probeResponseMicros + timeoutExtensionMicros(probeSentMicros);
  }

  /**
   * Returns the duration by which the timeouts of this backend are extended because all backends of
   * its service respond late.
   */
  public long timeoutExtensionMicros(long nowMicros) {
    return (long) (serviceDelayFactor * serviceDelay.micros(nowMicros));
  }

  /** Records that a probe is sent now. */
  public void probeSent(long nowMicros) {
    probePending = true;
    probeRequested = false;
    probeSentMicros = nowMicros;
  }

  /**
   * Checks whether the pending probe has had no response for too long.
   *
   * @return whether the backend has become suspected to be down in this call
   */
  public boolean checkProbeTimeout(long nowMicros) {
    boolean withoutResponse =
        probePending
            && nowMicros - probeSentMicros
                >= probeResponseMicros + timeoutExtensionMicros(nowMicros)
            && lastActivityMicros <= probeSentMicros;
    if (!withoutResponse || suspected) {
      return false;
    }
    suspect();
    return true;
  }

  /** Records a probe with a success response. */
  public void probeSucceeded(long nowMicros) {
    probePending = false;
    consecutiveBroken = 0;
    activity(nowMicros);
    health.probeSucceeded();
  }

  /**
   * Records that the backend rejected a probe because it is full. The rejection shows that the
   * backend is running.
   */
  public void probeRejected(long nowMicros) {
    probePending = false;
    activity(nowMicros);
    health.probeInconclusive();
  }

  /** Records a probe with a failure response or a failed connection. */
  public void probeFailed() {
    probePending = false;
    suspect();
    health.probeFailed();
  }

  /**
   * Records a probe that timed out. Probes have to wait for a slot at a busy backend. If anything
   * was received from the backend since the probe was sent, the backend is therefore considered
   * busy and the timeout does not count as a failure.
   */
  public void probeTimedOut() {
    probePending = false;
    if (lastActivityMicros > probeSentMicros) {
      health.probeInconclusive();
    } else {
      suspect();
      health.probeFailed();
    }
  }

  /**
   * Returns the active and passive states, with which other backends of the service are compared.
   */
  public BackendHealth health() {
    return health;
  }

  private void suspect() {
    suspected = policy.uses(Mechanism.SUSPICION);
    probeRequested = true;
  }

  private void failed(long nowMicros, Collection<BackendHealth> peers) {
    health.requestEnded(nowMicros, true);
    if (policy.uses(Mechanism.EJECTION)) {
      health.ejectIfFailing(nowMicros, peers);
    }
  }
}
