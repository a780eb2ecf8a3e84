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
 * Picks the backend of a request.
 *
 * <p>Ordinary path: two random draws in the own zone, and the one with fewer requests in flight;
 * other zones only when the own has no room. For prompts, cached parts go first: all data planes
 * order the backends of a service alike by the hash of the deepest shared part, and of the first
 * few the one is taken that will have read the prompt soonest.
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
   * What is to be placed.
   *
   * @param service its service
   * @param prompt parts of its prompt; empty if it has none
   * @param promptTokens all of them, as told or added up
   * @param objectiveMicros within which a response earns its full worth
   * @param agents data planes that send to the same backends
   */
  public record Demand(
      Service service,
      List<PromptPart> prompt,
      long promptTokens,
      long objectiveMicros,
      int agents) {
    long memoryTokens() {
      return service.engine().cacheTokens();
    }
  }

  /**
   * A choice.
   *
   * @param backend the backend
   * @param work what it has to do before the first event
   * @param readMicros time for reading them
   * @param firstMicros expected until the first event; 0 if nothing is known of it
   * @param candidates backends that it was chosen from
   */
  public record Choice(
      Backend backend, PrefillWork work, long readMicros, long firstMicros, int candidates) {
    /** Tokens that the backend will have to read; 0 if there is no prompt. */
    public long newTokens() {
      return work.newTokens();
    }
  }

  /** Places requests for a data plane in this zone. */
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
   * Picks among backends.
   *
   * @param backends of the service, in any order; not empty
   * @param permitted those that may be sent to at all
   * @return the choice; null if none is permitted
   */
  public Choice pick(
      long nowMicros, Demand demand, List<Backend> backends, Predicate<Backend> permitted) {
    List<Backend> open =
        filter(backends, backend -> backend.registered() && permitted.test(backend));
    List<Backend> candidates = healthiest(nowMicros, open);
    if (candidates.isEmpty()) {
      return null;
    }
    boolean prompted = demand.service().engine() != null && !demand.prompt().isEmpty();
    if (prompted && policy.uses(Mechanism.PREFIX_AFFINITY)) {
      return byPrompt(nowMicros, demand, candidates);
    }
    return new Choice(draw(nowMicros, candidates), PrefillWork.NONE, 0, 0, candidates.size());
  }

  /**
   * Those that nothing speaks against; else those available; else all, for none may be left out
   * then.
   */
  private static List<Backend> healthiest(long nowMicros, List<Backend> open) {
    List<Backend> trusted = filter(open, backend -> backend.healthMonitor().trusted(nowMicros));
    if (!trusted.isEmpty()) {
      return trusted;
    }
    List<Backend> available = filter(open, backend -> backend.healthMonitor().available(nowMicros));
    return available.isEmpty() ? open : available;
  }

  /** A plain loop: it runs for every request, also before it has been compiled. */
  private static List<Backend> filter(List<Backend> backends, Predicate<Backend> condition) {
    List<Backend> passed = new ArrayList<>(backends.size());
    for (Backend backend : backends) {
      if (condition.test(backend)) {
        passed.add(backend);
      }
    }
    return passed;
  }

  private Backend draw(long nowMicros, List<Backend> candidates) {
    List<Backend> near =
        filter(candidates, backend -> near(backend) && hasCapacity(backend, nowMicros));
    List<Backend> roomy =
        near.isEmpty() ? filter(candidates, backend -> hasCapacity(backend, nowMicros)) : near;
    return PowerOfTwoChoices.pick(
        roomy.isEmpty() ? candidates : roomy,
        Backend::inFlight,
        Comparator.comparingDouble(backend -> backend.load(nowMicros)),
        random);
  }

  private boolean near(Backend backend) {
    return backend.session().zone().equals(zone) || !policy.uses(Mechanism.ZONE_PREFERENCE);
  }

  private boolean hasCapacity(Backend backend, long nowMicros) {
    int slots = backend.session().slots();
    return slots <= 0 || backend.load(nowMicros) < fullSlotsFraction * slots;
  }

  private Choice byPrompt(long nowMicros, Demand demand, List<Backend> candidates) {
    long key = key(demand.prompt());
    int count = candidates.size();
    Choice home = reckon(nowMicros, demand, home(candidates, key), true, count);
    return isSoon(home, demand) || !policy.uses(Mechanism.SPILL)
        ? home
        : spill(nowMicros, demand, candidates, key, home);
  }

  /** The backend that all data planes turn to first with this key. */
  private static Backend home(List<Backend> candidates, long key) {
    Backend home = candidates.get(0);
    long highest = home.weight(key);
    for (int i = 1; i < candidates.size(); i++) {
      long weight = candidates.get(i).weight(key);
      if (weight > highest) {
        home = candidates.get(i);
        highest = weight;
      }
    }
    return home;
  }

  private boolean isSoon(Choice choice, Demand demand) {
    return choice.firstMicros() <= spillFraction * demand.objectiveMicros();
  }

  /** Looks at the other backends, in the order of the key, until one is soon enough. */
  private Choice spill(
      long nowMicros, Demand demand, List<Backend> candidates, long key, Choice home) {
    List<Backend> ordered = new ArrayList<>(candidates);
    ordered.sort(Comparator.comparingLong((Backend backend) -> backend.weight(key)).reversed());
    Choice best = home;
    for (int rank = 1; rank < ordered.size() && !isSoon(best, demand); rank++) {
      Choice choice = reckon(nowMicros, demand, ordered.get(rank), false, ordered.size());
      if (cost(choice) < cost(best)) {
        best = choice;
      }
    }
    return best;
  }

  /** The deepest part that other requests share: the last one is the request's own. */
  private static long key(List<PromptPart> prompt) {
    return prompt.get(Math.max(0, prompt.size() - 2)).id();
  }

  private Choice reckon(
      long nowMicros, Demand demand, Backend backend, boolean isHome, int candidates) {
    EngineModel engine = backend.engine();
    long cachedTokens =
        engine.cachedTokens(demand.prompt(), demand.memoryTokens(), demand.agents());
    if (isHome && policy.uses(Mechanism.SHARED_CACHE)) {
      int last = demand.prompt().size() - 1;
      long shared = demand.promptTokens() - demand.prompt().get(last).tokens();
      cachedTokens = Math.max(cachedTokens, (long) (sharedCacheFraction * shared));
    }
    PrefillWork work = PrefillWork.of(demand.promptTokens(), cachedTokens);
    long read = engine.prefillMicros(work);
    return new Choice(backend, work, read, engine.queueMicros(nowMicros) + read, candidates);
  }

  /**
   * What a choice costs, in time: until the first event, and once more for what has to be read, as
   * that delays the other requests of the backend by about as much.
   */
  private long cost(Choice choice) {
    long others = policy.uses(Mechanism.READING_COST) ? choice.readMicros() : 0;
    return choice.firstMicros() + others + (near(choice.backend()) ? 0 : otherZoneMicros);
  }
}
