package slateslip.routing.placement;

import java.util.List;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.routing.policy.Mechanism;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/**
 * The model that this data plane keeps of the engine of one backend: the cached prompt parts, and
 * the time at which the prefill of the waiting prompts will be complete. Times are in microseconds.
 */
public final class EngineModel {
  /** A request with a shorter expected wait counts as a request that does not wait. */
  private static final long NEGLIGIBLE_WAIT_MICROS = 2_000;

  private final ServiceModel service;
  private final RoutingPolicy policy;
  private final double delayWeight;
  private final double delayDecayMicros;
  private final PrefixCacheModel prefixCache = new PrefixCacheModel();
  private long prefillUntilMicros;
  private double delayMicros;
  private long delayMeasuredMicros;

  /** Creates the model of an engine of this service, with an empty cache and no waiting prompts. */
  EngineModel(ServiceModel service, RoutingPolicy policy) {
    this.service = service;
    this.policy = policy;
    delayWeight = policy.value(RoutingParameter.DELAY_WEIGHT);
    delayDecayMicros = (double) policy.micros(RoutingParameter.DELAY_DECAY_MILLIS);
  }

  /** Returns the number of tokens of the prompt that are probably in the cache of the engine. */
  public long cachedTokens(List<PromptPart> prompt, long memoryTokens, int dataPlanes) {
    return prefixCache.cachedTokens(prompt, memoryTokens, dataPlanes);
  }

  /**
   * Returns the expected first-token latency of a request with this prefill work that does not
   * wait.
   */
  public long prefillMicros(PrefillWork work) {
    return service.prefill().micros(work);
  }

  /**
   * Returns the expected wait of a new request before its prefill starts; 0 if {@link
   * Mechanism#QUEUE_ESTIMATE} is disabled.
   */
  public long queueMicros(long nowMicros) {
    if (!policy.uses(Mechanism.QUEUE_ESTIMATE)) {
      return 0;
    }
    double decay = Math.exp((delayMeasuredMicros - nowMicros) / delayDecayMicros);
    return Math.max(0, prefillUntilMicros - nowMicros) + (long) (delayMicros * decay);
  }

  /** Records a prompt that is sent to the engine now. */
  public void sent(
      List<PromptPart> prompt,
      long newTokens,
      long prefillMicros,
      long memoryTokens,
      int dataPlanes,
      long nowMicros) {
    prefixCache.sent(prompt, newTokens, memoryTokens, dataPlanes);
    prefillUntilMicros = Math.max(prefillUntilMicros, nowMicros) + prefillMicros;
  }

  /**
   * Records the measured first-token latency of a request.
   *
   * @param choice choice that was made for the request, with the expected latency
   * @param noneAwaiting whether no other request of this data plane waits for its first event at
   *     this engine
   */
  public void started(
      long nowMicros, long measuredMicros, Placement.Choice choice, boolean noneAwaiting) {
    long expectedFirstEventMicros = choice.expectedFirstEventMicros();
    boolean withoutWait =
        noneAwaiting && expectedFirstEventMicros - choice.prefillMicros() < NEGLIGIBLE_WAIT_MICROS;
    if (withoutWait && policy.uses(Mechanism.ENGINE_LEARNING)) {
      service.prefill().learn(choice.work(), measuredMicros);
    }
    double decay = Math.exp((delayMeasuredMicros - nowMicros) / delayDecayMicros);
    double excessMicros = Math.max(0, measuredMicros - expectedFirstEventMicros);
    service.delay().addSample(nowMicros, (long) excessMicros);
    delayMicros = delayMicros * decay + delayWeight * (excessMicros - delayMicros * decay);
    delayMeasuredMicros = nowMicros;
    if (noneAwaiting) {
      prefillUntilMicros = nowMicros;
    }
  }

  /**
   * Records that a request of this data plane has ended before its first event, so that its prefill
   * no longer delays other requests.
   */
  public void endedBeforeFirstEvent(long prefillMicros, boolean noneAwaiting, long nowMicros) {
    prefillUntilMicros =
        noneAwaiting ? nowMicros : Math.max(nowMicros, prefillUntilMicros - prefillMicros);
  }
}
