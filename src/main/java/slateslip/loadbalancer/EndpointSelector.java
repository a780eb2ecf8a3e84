package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import slateslip.loadbalancer.policy.PowerOfTwoChoices;
import slateslip.loadbalancer.policy.RendezvousHash;

/**
 * Which server gets a request: of two random available ones of the own zone that with fewer of this
 * agent's requests in flight; then other zones; then all.
 */
final class EndpointSelector {
  /**
   * How fast the share of keys that cross zones at once follows what is seen: some hundred
   * requests.
   */
  private static final double CROSS_ZONE_STEP = 0.01;

  /** Of two with as many requests in flight the one that was drawn first. */
  private static final Comparator<Endpoint> FIRST_DRAWN = (unusedFirst, unusedSecond) -> 0;

  private final LoadBalancerContext agent;
  private final EndpointHealthChecker health;
  private final Admission admission;
  private final LatencyTracker latencies;
  private final SlowStart slowStart;
  private final SubsetSizer subset;
  private final List<Endpoint> candidates = new ArrayList<>();

  /** The share of keys that cross zones at once. */
  private double crossZoneFraction;

  EndpointSelector(
      LoadBalancerContext agent,
      EndpointHealthChecker health,
      Admission admission,
      LatencyTracker latencies,
      SlowStart slowStart,
      SubsetSizer subset) {
    this.agent = agent;
    this.health = health;
    this.admission = admission;
    this.latencies = latencies;
    this.slowStart = slowStart;
    this.subset = subset;
  }

  Endpoint select(PendingRequest req, long now) {
    if (!RetryEligibility.maySend(req, agent.settings.permits(), now)) {
      return null;
    }
    // Guards against a request held to its last moment though no server is left that it has not
    // been to.
    req.mayRevisit =
        !req.attempts.isEmpty()
            && agent.listed.stream()
                .allMatch(
                    each ->
                        !each.ready
                            || !health.available(each, now)
                            || req.wasSentTo(each)
                            || !RetryEligibility.inGroups(req, each));
    boolean crossesZones =
        hasAffinity(req) && RendezvousHash.position(~req.request.key()) < crossZoneFraction;
    Endpoint best = crossesZones ? selectAmong(req, now, true, 0) : null;
    if (best == null) {
      best = selectAmong(req, now, true, 1);
      crossZoneFraction -=
          best == null
              ? 0
              : CROSS_ZONE_STEP * agent.settings.prices().crossZone() * crossZoneFraction;
    }
    if (best != null) {
      return best;
    }
    boolean availableAnywhere =
        agent.listed.stream().anyMatch(each -> each.ready && health.available(each, now));
    boolean availableHere =
        agent.listed.stream()
            .anyMatch(
                each ->
                    each.ready
                        && each.listing.zone() == agent.settings.zone()
                        && health.available(each, now));
    if (!availableAnywhere) {
      return selectAmong(req, now, false, -1);
    }
    if (availableHere && now - req.arrivedAt < crossZoneDelay(req)) {
      return null;
    }
    best = selectAmong(req, now, true, 0);
    if (best != null && availableHere) {
      // Danger: keys that cross only after waiting are met by too many servers and known to none.
      // As
      // long as requests have to wait out the price, more of the keys go over, always the same
      // ones.
      crossZoneFraction += CROSS_ZONE_STEP * (1 - crossZoneFraction);
    }
    return best;
  }

  /** Whether servers are quicker with this request's key where they met it lately. */
  private boolean hasAffinity(PendingRequest req) {
    return agent.settings.keyAffinity() && req.request.key() != 0;
  }

  /**
   * Crossing zones costs its price: while servers are available here, that part of the time is
   * waited.
   */
  long crossZoneDelay(PendingRequest req) {
    return (long) ((req.endAt - req.arrivedAt) * Math.min(1, agent.settings.prices().crossZone()));
  }

  /** The two-draw pick among servers with capacity; where: 1 own zone, 0 other zones, -1 all. */
  private Endpoint selectAmong(PendingRequest req, long now, boolean onlyHealthy, int zoneFilter) {
    candidates.clear();
    double capacity = 0;
    int inFlight = 0;
    int minSubset = zoneFilter == 1 ? SubsetSizer.MIN_LOCAL : SubsetSizer.MIN_REMOTE;
    int remaining = hasAffinity(req) ? agent.listed.size() : subset.subsetSize(minSubset, now);
    for (Endpoint target : agent.listed) {
      if (remaining == 0) {
        break; // Danger: with a thousand agent.listed, looking at each costs more than all else
      }
      if (target.ready
          && (!onlyHealthy || health.available(target, now))
          && (zoneFilter < 0
              || (target.listing.zone() == agent.settings.zone()) == (zoneFilter == 1))) {
        remaining--;
        capacity += target.limit - target.inFlight;
        inFlight += target.inFlight;
        if (!req.isExcluded(target)
            && RetryEligibility.inGroups(req, target)
            && admission.hasCapacity(target, now)
            && slowStart.canFinishInTime(req, target, now)) {
          candidates.add(target);
        }
      }
    }
    if (inFlight > 0 && capacity < 1) {
      return null; // Danger: one request at each of a few servers, times hundreds of agents, is a
      // jam
    }
    if (hasAffinity(req)) {
      removeBusy();
    }
    if (hasAffinity(req) && candidates.size() > 1) {
      // All agents draw the same two by the key's hash.
      Endpoint first = highestWeight(req.request.key(), null);
      Endpoint second = highestWeight(req.request.key(), first);
      return PowerOfTwoChoices.less(first, second, Endpoint::inFlight, FIRST_DRAWN);
    }
    Comparator<Endpoint> ties =
        agent.settings.keyAffinity()
            ? FIRST_DRAWN
            : Comparator.comparingDouble(each -> latencies.slowdown(each, now));
    return PowerOfTwoChoices.pick(candidates, Endpoint::inFlight, ties, agent.random);
  }

  /**
   * Leaves servers with at most one over the mean in flight: hashing with bounded loads. Danger:
   * the servers of a key that many ask for have far more than the others, up to their limits.
   */
  private void removeBusy() {
    double max = 1 + candidates.stream().mapToInt(each -> each.inFlight).average().orElse(0);
    candidates.removeIf(target -> target.inFlight > max);
  }

  private Endpoint highestWeight(long key, Endpoint except) {
    return RendezvousHash.highest(candidates, key, target -> target.id, except);
  }
}
