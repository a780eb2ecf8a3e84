package slateslip.routing.health;

import java.util.Collection;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.loadbalancer.policy.HealthParameters;
import slateslip.routing.policy.Mechanism;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * Health of one backend: the active and passive states of {@link BackendHealth}, when it is to be
 * probed, and suspicion, which is faster than both.
 *
 * <p>A backend is suspected as soon as it cannot be connected to, breaks two answers in a row, or
 * leaves a probe without a reply while nothing else comes from it. A suspected backend is no first
 * choice, and is probed often, until anything is heard from it. All times are in microseconds.
 */
public final class BackendHealthMonitor {
  /**
   * YARP's defaults for failed probes, the window, its least requests and its share of failures.
   */
  private static final int MAX_FAILED_PROBES = 2;

  private static final long WINDOW_MICROS = 60_000_000;
  private static final int MIN_REQUESTS = 10;
  private static final double MAX_FAILED_FRACTION = 0.3;

  /** What fails at all backends alike is no fault of one. */
  private static final double MAX_DEVIATIONS = 1;

  private final BackendHealth health;
  private final RoutingPolicy policy;
  private final long suspectProbeMicros;
  private final long probeReplyMicros;
  private final ServiceDelay serviceDelay;
  private final double serviceDelayFactor;
  private final int maxBrokenInARow;
  private long heardMicros;
  private long probeSentMicros;
  private boolean probePending;
  private boolean probeRequested;
  private boolean suspected;
  private int consecutiveBroken;

  /** Of a backend that was registered at this time, and whose service answers that late. */
  public BackendHealthMonitor(long nowMicros, ServiceDelay serviceDelay, RoutingPolicy policy) {
    this.policy = policy;
    this.serviceDelay = serviceDelay;
    serviceDelayFactor =
        policy.uses(Mechanism.PATIENCE_UNDER_LOAD)
            ? policy.value(RoutingParameter.SERVICE_DELAY_FACTOR)
            : 0;
    health = new BackendHealth(parameters(policy));
    suspectProbeMicros = policy.micros(RoutingParameter.SUSPECT_PROBE_MILLIS);
    probeReplyMicros = policy.micros(RoutingParameter.PROBE_REPLY_MILLIS);
    maxBrokenInARow = (int) policy.value(RoutingParameter.BROKEN_IN_A_ROW);
    heardMicros = nowMicros;
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

  /** Available unless the active or the passive state is Unhealthy. */
  public boolean available(long nowMicros) {
    health.reactivateIfDue(nowMicros);
    return health.available();
  }

  /** Whether it is available and nothing speaks against it. */
  public boolean trusted(long nowMicros) {
    return available(nowMicros) && !suspected;
  }

  /** Whether it is suspected to be down. */
  public boolean suspected() {
    return suspected;
  }

  /** When anything was last heard from it. */
  public long heardMicros() {
    return heardMicros;
  }

  /** Anything came from it: it lives. */
  public void activity(long nowMicros) {
    heardMicros = nowMicros;
    suspected = false;
  }

  /** A request ended with a response of its own. */
  public void requestSucceeded(long nowMicros) {
    activity(nowMicros);
    consecutiveBroken = 0;
    health.requestEnded(nowMicros, false);
  }

  /** It could not be connected to. */
  public void connectFailed(long nowMicros, Collection<BackendHealth> peers) {
    suspect();
    failed(nowMicros, peers);
  }

  /** A connection broke, or what came was no response. */
  public void requestBroken(long nowMicros, Collection<BackendHealth> peers) {
    consecutiveBroken++;
    if (consecutiveBroken >= maxBrokenInARow) {
      suspect();
    }
    probeRequested = true;
    failed(nowMicros, peers);
  }

  /** A request had no response in its time. */
  public void timedOut(long nowMicros, long sentMicros, Collection<BackendHealth> peers) {
    if (heardMicros < sentMicros) {
      suspect();
    }
    failed(nowMicros, peers);
  }

  /**
   * A request has waited long with nothing heard since; a probe tells a slow backend from a dead
   * one.
   */
  public void requestProbe() {
    probeRequested = true;
  }

  /** Whether it is to be probed now, with this interval between probes of an idle backend. */
  public boolean probeDue(long nowMicros, long idleProbeMicros) {
    return !probePending && nowMicros >= probeDueMicros(idleProbeMicros);
  }

  private long probeDueMicros(long idleProbeMicros) {
    if (suspected || probeRequested || !health.available()) {
      return probeSentMicros + suspectProbeMicros;
    }
    return policy.uses(Mechanism.IDLE_PROBES)
        ? Math.max(probeSentMicros, heardMicros) + idleProbeMicros
        : Long.MAX_VALUE;
  }

  /** When it is to be looked at again; nothing changes before unless something is heard of it. */
  public long nextCheckMicros(long idleProbeMicros) {
    if (!probePending) {
      return probeDueMicros(idleProbeMicros);
    }
    boolean answered = heardMicros > probeSentMicros;
    return suspected || answered
        ? Long.MAX_VALUE
        : probeSentMicros + probeReplyMicros + allowanceMicros(probeSentMicros);
  }

  /** Time that a backend is given beyond the usual, as its whole service answers late. */
  public long allowanceMicros(long nowMicros) {
    return (long) (serviceDelayFactor * serviceDelay.micros(nowMicros));
  }

  /** A probe goes out. */
  public void probeSent(long nowMicros) {
    probePending = true;
    probeRequested = false;
    probeSentMicros = nowMicros;
  }

  /** Looks whether a probe stays without reply, and says whether suspicion is new. */
  public boolean checkProbeTimeout(long nowMicros) {
    boolean unanswered =
        probePending
            && nowMicros - probeSentMicros >= probeReplyMicros + allowanceMicros(nowMicros)
            && heardMicros <= probeSentMicros;
    if (!unanswered || suspected) {
      return false;
    }
    suspect();
    return true;
  }

  /** A probe was answered well. */
  public void probeSucceeded(long nowMicros) {
    probePending = false;
    consecutiveBroken = 0;
    activity(nowMicros);
    health.probeSucceeded();
  }

  /** A probe was rejected because the backend is full: it lives. */
  public void probeRejected(long nowMicros) {
    probePending = false;
    activity(nowMicros);
    health.probeInconclusive();
  }

  /** A probe was answered badly, or its connection failed. */
  public void probeFailed() {
    probePending = false;
    suspect();
    health.probeFailed();
  }

  /**
   * A probe had no reply in time. Danger: probes wait for a slot; what has answered others is only
   * busy.
   */
  public void probeTimedOut() {
    probePending = false;
    if (heardMicros > probeSentMicros) {
      health.probeInconclusive();
    } else {
      suspect();
      health.probeFailed();
    }
  }

  /** The states of its health, for peers to be compared with. */
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
