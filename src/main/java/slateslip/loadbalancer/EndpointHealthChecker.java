package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.List;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.loadbalancer.policy.BackendHealth.State;
import slateslip.loadbalancer.policy.HealthParameters;

/**
 * Determines which servers are available, by the agent's probes and by the outcomes of its requests
 * at a server compared with those at the other servers of the zone.
 */
final class EndpointHealthChecker {
  private static final long SECOND = 1_000_000;

  /** Interval between probes of a server by all its agents: detects a failure at a low cost. */
  private static final long PROBE_INTERVAL = SECOND;

  /** Consecutive failed probes that make a server Unhealthy; the default of the design. */
  private static final int PROBE_THRESHOLD = 2;

  /** Sliding window: holds the few requests of a lightly loaded agent, short beside an outage. */
  private static final long WINDOW = 10 * SECOND;

  /**
   * Requests needed to judge the passive state; lightly loaded agents never reach the default 10.
   */
  private static final int MIN_REQUESTS = 5;

  /** Failure share above which the passive state is Unhealthy; the default of the design. */
  private static final double FAILURE_LIMIT = 0.3;

  /** Standard deviations above the peers' share: failures common to all are no server's fault. */
  private static final double EJECTION_DEVIATIONS = 1;

  /** Time after which the passive state is Unknown again, in microseconds. */
  private static final long REACTIVATION = 5 * SECOND;

  /** Thresholds for {@link BackendHealth}. */
  static final HealthParameters PARAMETERS =
      new HealthParameters(
          PROBE_THRESHOLD, WINDOW, MIN_REQUESTS, FAILURE_LIMIT, EJECTION_DEVIATIONS, REACTIVATION);

  private final LoadBalancerContext context;
  private final SlowStart slowStart;
  private final SubsetSizer subset;
  private int nextProbeIndex;
  private boolean probing;

  EndpointHealthChecker(LoadBalancerContext context, SlowStart slowStart, SubsetSizer subset) {
    this.context = context;
    this.slowStart = slowStart;
    this.subset = subset;
    this.nextProbeIndex = context.random.nextInt(1 << 16);
  }

  /** Returns whether a server is available; resets a passive state whose time is over. */
  boolean available(Endpoint target, long now) {
    if (target.health.reactivateIfDue(now)) {
      target.limit = 1;
      context.servers.log(target, "passive Unknown: reactivated");
    }
    return target.health.available();
  }

  /** Ejects a server if its failure share is too high, and higher than that of its zone's peers. */
  void ejectIfFailing(Endpoint target, long now) {
    if (!target.health.failsTooOften()) {
      return;
    }
    List<BackendHealth> peers = new ArrayList<>();
    for (Endpoint peer : context.listed) {
      if (peer != target && peer.listing.zone() == target.listing.zone()) {
        peers.add(peer.health);
      }
    }
    if (target.health.ejectIfFailing(now, peers)) {
      context.servers.log(
          target,
          "passive Unhealthy: "
              + target.health.failuresInWindow()
              + " of "
              + target.health.requestsInWindow()
              + " failed");
    }
  }

  /** Returns the own zone's subset and the unavailable servers listed before, which may recover. */
  private List<Endpoint> probeCandidates(long now) {
    List<Endpoint> probeCandidates = new ArrayList<>();
    int remaining = subset.subsetSize(SubsetSizer.MIN_LOCAL, now);
    for (Endpoint target : context.listed) {
      if (remaining == 0) {
        break;
      }
      if (target.ready && target.listing.zone() == context.settings.zone()) {
        probeCandidates.add(target);
        remaining -= available(target, now) ? 1 : 0;
      }
    }
    return probeCandidates.isEmpty() ? context.listed : probeCandidates;
  }

  /**
   * Sends the next probe and schedules another. If every agent probed every server, the probes of a
   * large fleet would cost more than its requests. Random delays separate agents started together.
   */
  void probe(long now, double minDelayFraction) {
    probing = context.settings.permits().probes() && !context.listed.isEmpty();
    if (!probing) {
      return;
    }
    List<Endpoint> probeCandidates = probeCandidates(now);
    double sharers =
        (double) context.settings.agents() * probeCandidates.size() / context.listed.size();
    double mean = PROBE_INTERVAL * Math.max(1, sharers) / probeCandidates.size();
    context.actions.timer(
        DefaultLoadBalancer.TIMER_PROBE,
        1 + (long) (mean * (minDelayFraction + context.random.nextDouble())));
    Endpoint target = probeCandidates.get(nextProbeIndex++ % probeCandidates.size());
    if (minDelayFraction > 0 && !target.probePending) {
      target.probePending = true;
      context.actions.probe(target.id);
    }
  }

  /**
   * Processes the outcome of a probe.
   *
   * @return whether the outcome says anything about the server
   */
  boolean probed(long now, long server, Outcome outcome) {
    Endpoint target = context.servers.find(server);
    if (target == null) {
      return false;
    }
    target.probePending = false;
    if (outcome == Outcome.NEVER_SENT) {
      return false; // the outcome says nothing about the server
    }
    if (outcome == Outcome.OK) {
      slowStart.responseReceived(target, now);
      if (target.health.probeSucceeded()) {
        context.servers.log(target, "active Healthy: probe answered");
      }
    } else if ((outcome == Outcome.TIMEOUT || outcome == Outcome.RESET)
        && target.respondedSinceProbe) {
      // A busy server answers probes late, and a probe's connection may break; responses to
      // requests prove that the server is alive.
      target.health.probeInconclusive();
    } else {
      if (outcome == Outcome.CONNECT_FAILED) {
        slowStart.suspectRestart(target, now);
      }
      if (target.health.probeFailed()) {
        slowStart.suspectRestart(target, now);
        context.servers.log(
            target, "active Unhealthy: " + target.health.probeFailures() + " probes failed");
      }
    }
    target.respondedSinceProbe = false;
    return true;
  }

  /** Starts to probe if probes are permitted and not yet running. */
  void probeUnlessProbing(long now) {
    if (!probing) {
      probe(now, 0);
    }
  }

  /** Resets Unhealthy active states where probes are no longer permitted: only probes end them. */
  void settingsChanged() {
    for (Endpoint target : context.listed) {
      if (!context.settings.permits().probes() && target.health.active() == State.UNHEALTHY) {
        target.health.resetActive();
      }
    }
  }
}
