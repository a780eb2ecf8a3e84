package slateslip.routing.placement;

import java.util.List;
import slateslip.routing.RequestAttributes.PromptPart;

/**
 * What this data plane believes of one model backend: the parts of prompts it keeps, and when it
 * will have read the prompts that wait. Times are in microseconds.
 */
public final class EngineModel {
  /** Prompt tokens that an engine reads in a millisecond; the deployments' sheets. */
  private static final double TOKENS_PER_MILLI = 63.9;

  /** Milliseconds for a million pairs of a new token and one before it; the deployments' sheets. */
  private static final double MILLIS_PER_MILLION_PAIRS = 0.367;

  /**
   * Milliseconds until the first token of a request without a prompt: a step and the first event.
   */
  private static final double BASE_MILLIS = 12;

  /** Weight of one measured delay beyond what own requests explain. */
  private static final double DELAY_BLEND = 0.5;

  /** Time in which such a delay falls to 1/e: what others have sent is read by then. */
  private static final double DELAY_FADE_MICROS = 700_000;

  private final PrefixCacheModel prefixCache = new PrefixCacheModel();
  private long prefillUntilMicros;
  private double delayMicros;
  private long delayMeasuredMicros;

  /** Tokens of the prompt that the engine probably keeps. */
  public long cachedTokens(List<PromptPart> prompt, long memoryTokens, int agents) {
    return prefixCache.cachedTokens(prompt, memoryTokens, agents);
  }

  /** Time to read the rest of a prompt of which some tokens are kept. */
  public static long prefillMicros(long promptTokens, long cachedTokens) {
    double fresh = Math.max(0, promptTokens - cachedTokens);
    double pairs = fresh * (cachedTokens + fresh / 2) / 1e6;
    double millis = fresh / TOKENS_PER_MILLI + pairs * MILLIS_PER_MILLION_PAIRS;
    return (long) (1_000 * (BASE_MILLIS + millis));
  }

  /** Time that a request would wait before its prompt is read. */
  public long queueMicros(long nowMicros) {
    double fade = Math.exp((delayMeasuredMicros - nowMicros) / DELAY_FADE_MICROS);
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
   * @param expectedMicros what was reckoned for it when it was sent, its wait included
   * @param noneWaits whether no other own request waits for its first event
   */
  public void started(long nowMicros, long tookMicros, long expectedMicros, boolean noneWaits) {
    double fade = Math.exp((delayMeasuredMicros - nowMicros) / DELAY_FADE_MICROS);
    double measured = Math.max(0, tookMicros - expectedMicros);
    delayMicros = delayMicros * fade + DELAY_BLEND * (measured - delayMicros * fade);
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
