package slateslip.routing.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import slateslip.configuration.Service;
import slateslip.loadbalancer.policy.PowerOfTwoChoices;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.routing.policy.Mechanism;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * Chooses the backend of a request.
 *
 * <p>For requests without a prompt, placement compares two random backends of the data plane's zone
 * and takes the one with fewer attempts of this data plane in flight, or with the lower estimated
 * load if these are equal. Backends of other zones are used only if the zone has no capacity. For
 * requests with a prompt, backends that have cached a part of it are preferred: all data planes
 * order the backends of a service in the same way, by a rendezvous hash of the last prompt part
 * that requests share. The first backend in this order is taken unless its expected first-token
 * latency is too high; then the backend with the lowest cost among the first few is taken.
 */
public final class Placement {
  private final String zone;
  private final RandomGenerator random;
  private final RoutingPolicy policy;
  private final double spillFraction;
  private final double sharedCacheFraction;
  private final long otherZoneMicros;
  private final double fullSlotsFraction;

  /**
   * The properties of a request that determine its placement.
   *
   * @param service service of the request
   * @param prompt parts of the prompt; empty if there is none
   * @param promptTokens length of the whole prompt in tokens
   * @param targetLatencyMicros target latency of the route
   * @param dataPlanes number of data planes that send to the same backends
   */
  public record RequestProfile(
      Service service,
      List<PromptPart> prompt,
      long promptTokens,
      long targetLatencyMicros,
      int dataPlanes) {
    long memoryTokens() {
      return service.engine().cacheTokens();
    }
  }

  /**
   * The choice of a backend and the estimates on which the choice is based.
   *
   * @param backend the chosen backend
   * @param work work of the backend's engine before the first event
   * @param prefillMicros expected first-token latency without a wait; 0 if not known
   * @param expectedFirstEventMicros expected first-token latency including the wait; 0 if not known
   * @param candidates number of backends that were considered
   */
  public record Choice(
      Backend backend,
      PrefillWork work,
      long prefillMicros,
      long expectedFirstEventMicros,
      int candidates) {
    /**
     * Returns the number of prompt tokens that the backend has to prefill; 0 if there is no prompt.
     */
    public long newTokens() {
      return work.newTokens();
    }
  }

  /** Creates the placement for a data plane in this zone. */
  public Placement(String zone, RandomGenerator random, RoutingPolicy policy) {
    this.zone = zone;
    this.policy = policy;
    this.random = random;
    spillFraction = policy.value(RoutingParameter.SPILL_FRACTION);
    sharedCacheFraction = policy.value(RoutingParameter.SHARED_CACHE_FRACTION);
    otherZoneMicros = policy.micros(RoutingParameter.OTHER_ZONE_MILLIS);
    fullSlotsFraction = policy.value(RoutingParameter.FULL_SLOTS_FRACTION);
  }

  /**
   * Chooses a backend for a request.
   *
   * @param backends backends of the service, in any order
   * @param permitted condition that a backend must meet to be chosen
   * @return the choice; null if no backend meets the condition and accepts requests
   */
  public Choice pick(
      long nowMicros,
      RequestProfile profile,
      List<Backend> backends,
      Predicate<Backend> permitted) {
    List<Backend> eligible =
        filter(backends, backend -> backend.acceptsRequests() && permitted.test(backend));
    List<Backend> candidates = healthiest(nowMicros, eligible);
    if (candidates.isEmpty()) {
      return null;
    }
    boolean hasPrompt = profile.service().engine() != null && !profile.prompt().isEmpty();
    if (hasPrompt && policy.uses(Mechanism.PREFIX_AFFINITY)) {
      return pickByPrompt(nowMicros, profile, candidates);
    }
    return new Choice(pickByLoad(nowMicros, candidates), PrefillWork.NONE, 0, 0, candidates.size());
  }

  /**
   * Returns the trusted backends. If there are none, returns the available ones, and if there are
   * none of these either, returns all backends, because an unhealthy backend is better than none.
   */
  private static List<Backend> healthiest(long nowMicros, List<Backend> eligible) {
    List<Backend> trusted = filter(eligible, backend -> backend.healthMonitor().trusted(nowMicros));
    if (!trusted.isEmpty()) {
      return trusted;
    }
    List<Backend> available =
        filter(eligible, backend -> backend.healthMonitor().available(nowMicros));
    return available.isEmpty() ? eligible : available;
  }

  /**
   * Returns the backends that meet a condition. A plain loop is used instead of a stream because
   * this code runs for every request, even before the virtual machine has compiled it.
   */
  private static List<Backend> filter(List<Backend> backends, Predicate<Backend> condition) {
    List<Backend> matching = new ArrayList<>(backends.size());
    for (Backend backend : backends) {
      if (condition.test(backend)) {
        matching.add(backend);
      }
    }
    return matching;
  }

  private Backend pickByLoad(long nowMicros, List<Backend> candidates) {
    List<Backend> inOwnZone =
        filter(candidates, backend -> inOwnZone(backend) && hasCapacity(backend, nowMicros));
    List<Backend> withCapacity =
        inOwnZone.isEmpty()
            ? filter(candidates, backend -> hasCapacity(backend, nowMicros))
            : inOwnZone;
    return PowerOfTwoChoices.pick(
        withCapacity.isEmpty() ? candidates : withCapacity,
        Backend::inFlight,
        Comparator.comparingDouble(backend -> backend.load(nowMicros)),
        random);
  }

  private boolean inOwnZone(Backend backend) {
    return backend.session().zone().equals(zone) || !policy.uses(Mechanism.ZONE_PREFERENCE);
  }

  private boolean hasCapacity(Backend backend, long nowMicros) {
    int slots = backend.session().slots();
    return slots <= 0 || backend.load(nowMicros) < fullSlotsFraction * slots;
  }

  private Choice pickByPrompt(long nowMicros, RequestProfile profile, List<Backend> candidates) {
    long affinityKey = affinityKey(profile.prompt());
    int count = candidates.size();
    Choice preferred =
        estimate(nowMicros, profile, preferred(candidates, affinityKey), true, count);
    return isFastEnough(preferred, profile) || !policy.uses(Mechanism.SPILL)
        ? preferred
        : spill(nowMicros, profile, candidates, affinityKey, preferred);
  }

  /** Returns the backend that all data planes prefer for this key. */
  private static Backend preferred(List<Backend> candidates, long affinityKey) {
    Backend preferred = candidates.get(0);
    long highest = preferred.weight(affinityKey);
    for (int i = 1; i < candidates.size(); i++) {
      long weight = candidates.get(i).weight(affinityKey);
      if (weight > highest) {
        preferred = candidates.get(i);
        highest = weight;
      }
    }
    return preferred;
  }

  private boolean isFastEnough(Choice choice, RequestProfile profile) {
    return choice.expectedFirstEventMicros() <= spillFraction * profile.targetLatencyMicros();
  }

  /**
   * Considers the other backends, in the order that the key determines, until the expected
   * first-token latency of one is low enough. Returns the choice with the lowest cost among those
   * considered.
   */
  private Choice spill(
      long nowMicros,
      RequestProfile profile,
      List<Backend> candidates,
      long affinityKey,
      Choice preferred) {
    List<Backend> ordered = new ArrayList<>(candidates);
    ordered.sort(
        Comparator.comparingLong((Backend backend) -> backend.weight(affinityKey)).reversed());
    Choice best = preferred;
    for (int rank = 1; rank < ordered.size() && !isFastEnough(best, profile); rank++) {
      Choice choice = estimate(nowMicros, profile, ordered.get(rank), false, ordered.size());
      if (cost(choice) < cost(best)) {
        best = choice;
      }
    }
    return best;
  }

  /**
   * Returns the id of the last prompt part that other requests may share. The last part belongs to
   * the request alone.
   */
  private static long affinityKey(List<PromptPart> prompt) {
    return prompt.get(Math.max(0, prompt.size() - 2)).id();
  }

  private Choice estimate(
      long nowMicros,
      RequestProfile profile,
      Backend backend,
      boolean isPreferred,
      int candidates) {
    EngineModel engine = backend.engine();
    long cachedTokens =
        engine.cachedTokens(profile.prompt(), profile.memoryTokens(), profile.dataPlanes());
    if (isPreferred && policy.uses(Mechanism.SHARED_CACHE)) {
      int last = profile.prompt().size() - 1;
      long sharedTokens = profile.promptTokens() - profile.prompt().get(last).tokens();
      cachedTokens = Math.max(cachedTokens, (long) (sharedCacheFraction * sharedTokens));
    }
    PrefillWork work = PrefillWork.of(profile.promptTokens(), cachedTokens);
    long prefillMicros = engine.prefillMicros(work);
    return new Choice(
        backend, work, prefillMicros, engine.queueMicros(nowMicros) + prefillMicros, candidates);
  }

  /**
   * Returns the cost of a choice in microseconds: the expected first-token latency, plus the
   * prefill time once more because the prefill delays the other requests of the backend by about
   * that time, plus a penalty for another zone.
   */
  private long cost(Choice choice) {
    long delayToOthers = policy.uses(Mechanism.READING_COST) ? choice.prefillMicros() : 0;
    return choice.expectedFirstEventMicros()
        + delayToOthers
        + (inOwnZone(choice.backend()) ? 0 : otherZoneMicros);
  }
}
