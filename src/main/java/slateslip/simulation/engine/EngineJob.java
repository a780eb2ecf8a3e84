package slateslip.simulation.engine;

import java.util.Comparator;
import slateslip.routing.RequestAttributes.PromptPart;

/**
 * One request inside an engine: the progress of its prefill and output, and the memory that the
 * request holds.
 */
final class EngineJob {
  /**
   * Orders jobs by priority, the most urgent first, and jobs of the same priority by arrival, the
   * oldest first.
   */
  static final Comparator<EngineJob> URGENCY =
      Comparator.comparingInt((EngineJob job) -> job.request.priority())
          .thenComparingLong(job -> job.arrival);

  private final EngineRequest request;
  private final long arrival;
  private final int tokensPerEvent;
  private long outputTokens;
  private boolean started;
  private int cachedParts;
  private long prefilledTokens;
  private long tokensToPrefill;
  private long contextTokens;
  private long reservedTokens;
  private long generatedReserved;

  EngineJob(EngineRequest request, long arrival, int tokensPerEvent) {
    this.request = request;
    this.arrival = arrival;
    this.tokensPerEvent = tokensPerEvent;
    this.outputTokens = request.resumeAfterEvent() * tokensPerEvent;
  }

  EngineRequest request() {
    return request;
  }

  long arrival() {
    return arrival;
  }

  /**
   * Returns whether the engine has generated a token for the request; until then the request counts
   * as not executed.
   */
  boolean started() {
    return started;
  }

  boolean isPrefilling() {
    return tokensToPrefill > 0;
  }

  long tokensToPrefill() {
    return tokensToPrefill;
  }

  /** Returns the number of tokens to which the next generated token attends. */
  long contextTokens() {
    return contextTokens;
  }

  /**
   * Reserves the memory that the request needs to start; returns false, without any change, if
   * there is not enough memory.
   */
  boolean admit(PrefixCache memory) {
    int retained = memory.cachedPrefixLength(request.prompt());
    request.prompt().subList(0, retained).forEach(memory::pin);
    long missingInBlocks = 0;
    long missing = 0;
    for (PromptPart part : request.prompt().subList(retained, request.prompt().size())) {
      missingInBlocks += memory.inBlocks(part.tokens());
      missing += part.tokens();
    }
    long generated = memory.inBlocks(outputTokens);
    if (!memory.reserve(missingInBlocks + generated)) {
      request.prompt().subList(0, retained).forEach(memory::unpin);
      return false;
    }
    cachedParts = retained;
    prefilledTokens = 0;
    reservedTokens = missingInBlocks + generated;
    generatedReserved = generated;
    tokensToPrefill = Math.max(1, missing + outputTokens);
    contextTokens = request.promptTokens() - missing;
    return true;
  }

  /**
   * Returns the prompt tokens in cached parts: after admission those found in the cache, later also
   * those that this request has prefilled.
   */
  long cachedTokens() {
    return request.prompt().subList(0, cachedParts).stream().mapToLong(PromptPart::tokens).sum();
  }

  /** Prefills a number of tokens; adds each completed prompt part to the cache. */
  void prefill(long tokens, PrefixCache memory) {
    tokensToPrefill -= tokens;
    contextTokens += tokens;
    prefilledTokens += tokens;
    while (cachedParts < request.prompt().size()
        && prefilledTokens >= request.prompt().get(cachedParts).tokens()) {
      PromptPart part = request.prompt().get(cachedParts);
      prefilledTokens -= part.tokens();
      reservedTokens -= memory.inBlocks(part.tokens());
      memory.publish(part);
      cachedParts++;
    }
  }

  /**
   * Returns the memory in tokens that must be reserved before the next output token, or 0 if the
   * reserved memory suffices.
   */
  long tokensNeededForNext(PrefixCache memory) {
    return memory.inBlocks(outputTokens + 1) - generatedReserved;
  }

  void addReserved(long tokens) {
    reservedTokens += tokens;
    generatedReserved += tokens;
  }

  /** Generates a token; returns whether the token completes an event. */
  boolean generateToken() {
    started = true;
    outputTokens++;
    contextTokens++;
    return complete() || outputTokens % tokensPerEvent == 0;
  }

  boolean complete() {
    return outputTokens >= request.outputTokens();
  }

  /** Returns the id of the event that contains the newest token, counted from 1. */
  long eventId() {
    return (outputTokens + tokensPerEvent - 1) / tokensPerEvent;
  }

  /** Releases all memory of the request; the number of generated tokens is kept. */
  void releaseMemory(PrefixCache memory) {
    request.prompt().subList(0, cachedParts).forEach(memory::unpin);
    memory.release(reservedTokens);
    cachedParts = 0;
    reservedTokens = 0;
    generatedReserved = 0;
    tokensToPrefill = 0;
    contextTokens = 0;
  }
}
