package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import slateslip.loadbalancer.policy.PowerOfTwoChoices;
import slateslip.loadbalancer.policy.RendezvousHash;

/**
 * Selects the server of an attempt: the one with fewer of this agent's requests in flight of two
 * random available servers of the agent's zone, then of other zones, then of all servers.
 */
final class EndpointSelector {
  /**
   * Adaptation rate of {@link #crossZoneFraction}, which follows a change within some hundred
   * requests.
   */
  private static final double CROSS_ZONE_STEP = 0.01;

  /** Prefers the server drawn first if two servers have equally many requests in flight. */
  private static final Comparator<Endpoint> FIRST_DRAWN = (unusedFirst, unusedSecond) -> 0;

  private final LoadBalancerContext context;
  private final EndpointHealthChecker health;
  private final Admission admission;
  private final LatencyTracker latencies;
  private final SlowStart slowStart;
  private final SubsetSizer subset;
  private final List<Endpoint> candidates = new ArrayList<>();

  /** Fraction of the keys whose requests use other zones immediately instead of waiting. */
  private double crossZoneFraction;

  EndpointSelector(
      LoadBalancerContext context,
      EndpointHealthChecker health,
      Admission admission,
      LatencyTracker latencies,
      SlowStart slowStart,
      SubsetSizer subset) {
    this.context = context;
    this.health = health;
    this.admission = admission;
    this.latencies = latencies;
    this.slowStart = slowStart;
    this.subset = subset;
  }

  Endpoint select(PendingRequest req, long now) {
    if (!RetryEligibility.maySend(req, context.settings.permits(), now)) {
      return null;
    }
    // Permits another attempt at servers that could not be reached once no untried server is left;
    // otherwise the request would wait until its deadline.
    req.mayRevisit =
        !req.attempts.isEmpty()
            && context.listed.stream()
                .allMatch(
                    each ->
                        !each.ready
                            || !health.available(each, now)
                            || req.wasSentTo(each)
                            || !RetryEligibility.inDeduplicationScope(req, each));
    boolean crossesZones =
        hasAffinity(req) && RendezvousHash.position(~req.request.key()) < crossZoneFraction;
    Endpoint best = crossesZones ? selectAmong(req, now, true, 0) : null;
    if (best == null) {
      best = selectAmong(req, now, true, 1);
      crossZoneFraction -=
          best == null
              ? 0
              : CROSS_ZONE_STEP * context.settings.prices().crossZone() * crossZoneFraction;
    }
    if (best != null) {
      return best;
    }
    boolean availableAnywhere =
        context.listed.stream().anyMatch(each -> each.ready && health.available(each, now));
    boolean availableHere =
        context.listed.stream()
            .anyMatch(
                each ->
                    each.ready
                        && each.listing.zone() == context.settings.zone()
                        && health.available(each, now));
    if (!availableAnywhere) {
      return selectAmong(req, now, false, -1);
    }
    if (availableHere && now - req.arrivedAt < crossZoneDelay(req)) {
      return null;
    }
    best = selectAmong(req, now, true, 0);
    if (best != null && availableHere) {
      // Keys that cross zones only after a wait reach too many servers, and no server caches them.
      // While requests have to wait, a growing and always identical set of keys crosses
      // immediately.
      crossZoneFraction += CROSS_ZONE_STEP * (1 - crossZoneFraction);
    }
    return best;
  }

  /** Returns whether servers are faster with this request's key if they served the key lately. */
  private boolean hasAffinity(PendingRequest req) {
    return context.settings.keyAffinity() && req.request.key() != 0;
  }

  /**
   * Returns the wait in microseconds before a request crosses zones while the own zone has
   * available servers: the cross-zone price as a fraction of the request's time.
   */
  long crossZoneDelay(PendingRequest req) {
    return (long)
        ((req.endAt - req.arrivedAt) * Math.min(1, context.settings.prices().crossZone()));
  }

  /** Selects a server with capacity, or null; zoneFilter: 1 own zone, 0 other zones, -1 all. */
  private Endpoint selectAmong(PendingRequest req, long now, boolean onlyHealthy, int zoneFilter) {
    candidates.clear();
    double capacity = 0;
    int inFlight = 0;
    int minSubset = zoneFilter == 1 ? SubsetSizer.MIN_LOCAL : SubsetSizer.MIN_REMOTE;
    int remaining = hasAffinity(req) ? context.listed.size() : subset.subsetSize(minSubset, now);
    for (Endpoint target : context.listed) {
      if (remaining == 0) {
        break; // examining all of a thousand servers would dominate the cost of a request
      }
      if (target.ready
          && (!onlyHealthy || health.available(target, now))
          && (zoneFilter < 0
              || (target.listing.zone() == context.settings.zone()) == (zoneFilter == 1))) {
        remaining--;
        capacity += target.limit - target.inFlight;
        inFlight += target.inFlight;
        if (!req.isExcluded(target)
            && RetryEligibility.inDeduplicationScope(req, target)
            && admission.hasCapacity(target, now)
            && slowStart.canFinishInTime(req, target, now)) {
          candidates.add(target);
        }
      }
    }
    if (inFlight > 0 && capacity < 1) {
      return null; // one request per server from hundreds of agents is an overload
    }
    if (hasAffinity(req)) {
      removeBusy();
    }
    if (hasAffinity(req) && candidates.size() > 1) {
      // All agents select the same two servers by the key's hash.
      Endpoint first = highestWeight(req.request.key(), null);
      Endpoint second = highestWeight(req.request.key(), first);
      return PowerOfTwoChoices.less(first, second, Endpoint::inFlight, FIRST_DRAWN);
    }
    Comparator<Endpoint> ties =
        context.settings.keyAffinity()
            ? FIRST_DRAWN
            : Comparator.comparingDouble(each -> latencies.slowdown(each, now));
    return PowerOfTwoChoices.pick(candidates, Endpoint::inFlight, ties, context.random);
  }

  /**
   * Keeps servers with at most one request above the mean in flight (hashing with bounded loads).
   * Otherwise the servers of a popular key would be loaded far above the others, up to their
   * limits.
   */
  private void removeBusy() {
    double max = 1 + candidates.stream().mapToInt(each -> each.inFlight).average().orElse(0);
    candidates.removeIf(target -> target.inFlight > max);
  }

  private Endpoint highestWeight(long key, Endpoint except) {
    return RendezvousHash.highest(candidates, key, target -> target.id, except);
  }
}
