package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.List;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.loadbalancer.policy.BackendHealth.State;
import slateslip.loadbalancer.policy.HealthParameters;

/**
 * Which servers are available: the agent's probes, and how its requests end beside those of its
 * peers.
 */
final class EndpointHealthChecker {
  private static final long SECOND = 1_000_000;

  /**
   * Between two probes of a server, by all that share it: an unresponsive one is found for a small
   * price.
   */
  private static final long PROBE_INTERVAL = SECOND;

  /** Failed probes in a row that make a server Unhealthy; the design's default. */
  private static final int PROBE_THRESHOLD = 2;

  /**
   * The sliding window: long enough to hold a light agent's few requests, short beside an outage.
   */
  private static final long WINDOW = 10 * SECOND;

  /**
   * Requests in the window before the passive state is judged; a light agent never sees the default
   * 10.
   */
  private static final int WINDOW_MINIMUM = 5;

  /** Failure share over which the passive state is Unhealthy; the design's default. */
  private static final double FAILURE_LIMIT = 0.3;

  /**
   * And by how many deviations above the peers' share: what fails everywhere is no server's fault.
   */
  private static final double EJECTION_MARGIN = 1;

  /** After this the passive state is Unknown again. */
  private static final long REACTIVATION = 5 * SECOND;

  /** What {@link BackendHealth} goes by. */
  static final HealthParameters PARAMETERS =
      new HealthParameters(
          PROBE_THRESHOLD, WINDOW, WINDOW_MINIMUM, FAILURE_LIMIT, EJECTION_MARGIN, REACTIVATION);

  private final LoadBalancerContext agent;
  private final SlowStart slowStart;
  private final SubsetSizer subset;
  private int nextProbeIndex;
  private boolean probing;

  EndpointHealthChecker(LoadBalancerContext agent, SlowStart slowStart, SubsetSizer subset) {
    this.agent = agent;
    this.slowStart = slowStart;
    this.subset = subset;
    this.nextProbeIndex = agent.random.nextInt(1 << 16);
  }

  /** Whether a server is available now; its passive state is reset where that is due. */
  boolean available(Endpoint target, long now) {
    if (target.health.reactivateIfDue(now)) {
      target.limit = 1;
      agent.servers.log(target, "passive Unknown: reactivated");
    }
    return target.health.available();
  }

  /**
   * Makes the passive state Unhealthy when too much fails here, and more than elsewhere in its
   * zone.
   */
  void ejectIfFailing(Endpoint target, long now) {
    if (!target.health.failsTooOften()) {
      return;
    }
    List<BackendHealth> peers = new ArrayList<>();
    for (Endpoint peer : agent.listed) {
      if (peer != target && peer.listing.zone() == target.listing.zone()) {
        peers.add(peer.health);
      }
    }
    if (target.health.ejectIfFailing(now, peers)) {
      agent.servers.log(
          target,
          "passive Unhealthy: "
              + target.health.failuresInWindow()
              + " of "
              + target.health.requestsInWindow()
              + " failed");
    }
  }

  /** Those it draws from, and what stands before them that is not available and may recover. */
  private List<Endpoint> probeCandidates(long now) {
    List<Endpoint> probeCandidates = new ArrayList<>();
    int remaining = subset.subsetSize(SubsetSizer.MIN_LOCAL, now);
    for (Endpoint target : agent.listed) {
      if (remaining == 0) {
        break;
      }
      if (target.ready && target.listing.zone() == agent.settings.zone()) {
        probeCandidates.add(target);
        remaining -= available(target, now) ? 1 : 0;
      }
    }
    return probeCandidates.isEmpty() ? agent.listed : probeCandidates;
  }

  /**
   * Sends the next probe and sets the time of another. Danger: every agent probes every server, and
   * at size the probes cost more than the requests; and agents started together would probe in
   * step.
   */
  void probe(long now, double minDelayFraction) {
    probing = agent.settings.permits().probes() && !agent.listed.isEmpty();
    if (!probing) {
      return;
    }
    List<Endpoint> probeCandidates = probeCandidates(now);
    double sharers =
        (double) agent.settings.agents() * probeCandidates.size() / agent.listed.size();
    double mean = PROBE_INTERVAL * Math.max(1, sharers) / probeCandidates.size();
    agent.actions.timer(
        DefaultLoadBalancer.TIMER_PROBE,
        1 + (long) (mean * (minDelayFraction + agent.random.nextDouble())));
    Endpoint target = probeCandidates.get(nextProbeIndex++ % probeCandidates.size());
    if (minDelayFraction > 0 && !target.probePending) {
      target.probePending = true;
      agent.actions.probe(target.id);
    }
  }

  /**
   * Takes how a probe ended.
   *
   * @return whether that says anything about the server
   */
  boolean probed(long now, long server, Outcome outcome) {
    Endpoint target = agent.servers.find(server);
    if (target == null) {
      return false;
    }
    target.probePending = false;
    if (outcome == Outcome.NEVER_SENT) {
      return false; // says nothing about the server
    }
    if (outcome == Outcome.OK) {
      slowStart.responseReceived(target, now);
      if (target.health.probeSucceeded()) {
        agent.servers.log(target, "active Healthy: probe answered");
      }
    } else if ((outcome == Outcome.TIMEOUT || outcome == Outcome.RESET)
        && target.respondedSinceProbe) {
      // Danger: a busy server answers probes late, and a connection may break under one; real
      // answers
      // prove that it lives.
      target.health.probeInconclusive();
    } else {
      if (outcome == Outcome.CONNECT_FAILED) {
        slowStart.connectionLost(target, now);
      }
      if (target.health.probeFailed()) {
        slowStart.connectionLost(target, now);
        agent.servers.log(
            target, "active Unhealthy: " + target.health.probeFailures() + " probes failed");
      }
    }
    target.respondedSinceProbe = false;
    return true;
  }

  /** Begins to probe where that is permitted and has not begun. */
  void probeUnlessProbing(long now) {
    if (!probing) {
      probe(now, 0);
    }
  }

  /**
   * Danger: without probes nothing would ever make a server available again that they found
   * Unhealthy.
   */
  void settingsChanged() {
    for (Endpoint target : agent.listed) {
      if (!agent.settings.permits().probes() && target.health.active() == State.UNHEALTHY) {
        target.health.resetActive();
      }
    }
  }
}
