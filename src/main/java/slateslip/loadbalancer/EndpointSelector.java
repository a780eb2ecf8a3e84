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
  private static final double SPILL_STEP = 0.01;

  /** Of two with as many requests in flight the one that was drawn first. */
  private static final Comparator<Endpoint> FIRST = (unusedFirst, unusedSecond) -> 0;

  private final LoadBalancerContext agent;
  private final EndpointHealthChecker health;
  private final Admission admission;
  private final LatencyTracker times;
  private final SlowStart cold;
  private final SubsetSizer subset;
  private final List<Endpoint> scratch = new ArrayList<>();

  /** The share of keys that cross zones at once. */
  private double spill;

  EndpointSelector(
      LoadBalancerContext agent,
      EndpointHealthChecker health,
      Admission admission,
      LatencyTracker times,
      SlowStart cold,
      SubsetSizer subset) {
    this.agent = agent;
    this.health = health;
    this.admission = admission;
    this.times = times;
    this.cold = cold;
    this.subset = subset;
  }

  Endpoint pick(PendingRequest req, long now) {
    if (!RetryEligibility.maySend(req, agent.settings.permits(), now)) {
      return null;
    }
    // Guards against a request held to its last moment though no server is left that it has not
    // been to.
    req.mayReturn =
        !req.attempts.isEmpty()
            && agent.listed.stream()
                .allMatch(
                    each ->
                        !each.ready
                            || !health.available(each, now)
                            || req.sentTo(each)
                            || !RetryEligibility.inGroups(req, each));
    boolean roams = keyed(req) && RendezvousHash.position(~req.request.key()) < spill;
    Endpoint best = roams ? draw(req, now, true, 0) : null;
    if (best == null) {
      best = draw(req, now, true, 1);
      spill -= best == null ? 0 : SPILL_STEP * agent.settings.prices().crossing() * spill;
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
                        && each.listed.zone() == agent.settings.zone()
                        && health.available(each, now));
    if (!availableAnywhere) {
      return draw(req, now, false, -1);
    }
    if (availableHere && now - req.cameAt < patience(req)) {
      return null;
    }
    best = draw(req, now, true, 0);
    if (best != null && availableHere) {
      // Danger: keys that cross only after waiting are met by too many servers and known to none.
      // As
      // long as requests have to wait out the price, more of the keys go over, always the same
      // ones.
      spill += SPILL_STEP * (1 - spill);
    }
    return best;
  }

  /** Whether servers are quicker with this request's key where they met it lately. */
  private boolean keyed(PendingRequest req) {
    return agent.settings.warmKeys() && req.request.key() != 0;
  }

  /**
   * Crossing zones costs its price: while servers are available here, that part of the time is
   * waited.
   */
  long patience(PendingRequest req) {
    return (long) ((req.endAt - req.cameAt) * Math.min(1, agent.settings.prices().crossing()));
  }

  /** The two-draw pick among servers with room; where: 1 own zone, 0 other zones, -1 all. */
  private Endpoint draw(PendingRequest req, long now, boolean healthy, int where) {
    scratch.clear();
    double room = 0;
    int out = 0;
    int least = where == 1 ? SubsetSizer.LEAST : SubsetSizer.FAR;
    int left = keyed(req) ? agent.listed.size() : subset.spread(least, now);
    for (Endpoint target : agent.listed) {
      if (left == 0) {
        break; // Danger: with a thousand agent.listed, looking at each costs more than all else
      }
      if (target.ready
          && (!healthy || health.available(target, now))
          && (where < 0 || (target.listed.zone() == agent.settings.zone()) == (where == 1))) {
        left--;
        room += target.limit - target.inFlight;
        out += target.inFlight;
        if (!req.tried(target)
            && RetryEligibility.inGroups(req, target)
            && admission.hasRoom(target, now)
            && cold.warmEnough(req, target, now)) {
          scratch.add(target);
        }
      }
    }
    if (out > 0 && room < 1) {
      return null; // Danger: one request at each of a few servers, times hundreds of agents, is a
      // jam
    }
    if (keyed(req)) {
      leaveBusy();
    }
    if (keyed(req) && scratch.size() > 1) {
      // All agents draw the same two by the key's hash.
      Endpoint first = highest(req.request.key(), null);
      Endpoint second = highest(req.request.key(), first);
      return PowerOfTwoChoices.less(first, second, Endpoint::inFlight, FIRST);
    }
    Comparator<Endpoint> ties =
        agent.settings.warmKeys()
            ? FIRST
            : Comparator.comparingDouble(each -> times.stretch(each, now));
    return PowerOfTwoChoices.pick(scratch, Endpoint::inFlight, ties, agent.random);
  }

  /**
   * Leaves servers with at most one over the mean in flight: hashing with bounded loads. Danger:
   * the servers of a key that many ask for have far more than the others, up to their limits.
   */
  private void leaveBusy() {
    double most = 1 + scratch.stream().mapToInt(each -> each.inFlight).average().orElse(0);
    scratch.removeIf(target -> target.inFlight > most);
  }

  private Endpoint highest(long key, Endpoint except) {
    return RendezvousHash.highest(scratch, key, target -> target.id, except);
  }
}
