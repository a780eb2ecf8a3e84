package slateslip.routing.placement;

import java.util.List;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.routing.policy.Mechanism;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * What this data plane believes of one model backend: the parts of prompts it keeps, and when it
 * will have read the prompts that wait. Times are in microseconds.
 */
public final class EngineModel {
  /** A request that is expected to wait for less counts as one that does not wait. */
  private static final long NO_WAIT_MICROS = 2_000;

  private final ServiceModel service;
  private final RoutingPolicy policy;
  private final double delayWeight;
  private final double delayDecayMicros;
  private final PrefixCacheModel prefixCache = new PrefixCacheModel();
  private long prefillUntilMicros;
  private double delayMicros;
  private long delayMeasuredMicros;

  /** An engine of this service. */
  EngineModel(ServiceModel service, RoutingPolicy policy) {
    this.service = service;
    this.policy = policy;
    delayWeight = policy.value(RoutingParameter.DELAY_WEIGHT);
    delayDecayMicros = (double) policy.micros(RoutingParameter.DELAY_DECAY_MILLIS);
  }

  /** Tokens of the prompt that the engine probably keeps. */
  public long cachedTokens(List<PromptPart> prompt, long memoryTokens, int agents) {
    return prefixCache.cachedTokens(prompt, memoryTokens, agents);
  }

  /** Time to read what is missing of a prompt. */
  public long prefillMicros(PrefillWork work) {
    return service.prefill().micros(work);
  }

  /** Time that a request would wait before its prompt is read. */
  public long queueMicros(long nowMicros) {
    if (!policy.uses(Mechanism.QUEUE_ESTIMATE)) {
      return 0;
    }
    double fade = Math.exp((delayMeasuredMicros - nowMicros) / delayDecayMicros);
    return Math.max(0, prefillUntilMicros - nowMicros) + (long) (delayMicros * fade);
  }

  /** Notes a prompt that is sent now. */
  public void sent(
      List<PromptPart> prompt,
      long newTokens,
      long prefillMicros,
      long memoryTokens,
      int agents,
      long nowMicros) {
    prefixCache.sent(prompt, newTokens, memoryTokens, agents);
    prefillUntilMicros = Math.max(prefillUntilMicros, nowMicros) + prefillMicros;
  }

  /**
   * Takes a measured time to the first event.
   *
   * @param choice what was expected when it was sent
   * @param noneWaits whether no other own request waits for its first event
   */
  public void started(long nowMicros, long tookMicros, Placement.Choice choice, boolean noneWaits) {
    long expectedMicros = choice.firstMicros();
    boolean alone = noneWaits && expectedMicros - choice.readMicros() < NO_WAIT_MICROS;
    if (alone && policy.uses(Mechanism.ENGINE_LEARNING)) {
      service.prefill().learn(choice.work(), tookMicros);
    }
    double fade = Math.exp((delayMeasuredMicros - nowMicros) / delayDecayMicros);
    double measured = Math.max(0, tookMicros - expectedMicros);
    service.delay().measured(nowMicros, (long) measured);
    delayMicros = delayMicros * fade + delayWeight * (measured - delayMicros * fade);
    delayMeasuredMicros = nowMicros;
    if (noneWaits) {
      prefillUntilMicros = nowMicros;
    }
  }

  /** An own request will not be read any more. */
  public void givenUp(long prefillMicros, boolean noneWaits, long nowMicros) {
    prefillUntilMicros =
        noneWaits ? nowMicros : Math.max(nowMicros, prefillUntilMicros - prefillMicros);
  }
}
