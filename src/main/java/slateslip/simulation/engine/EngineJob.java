package slateslip.simulation.engine;

import java.util.Comparator;
import slateslip.routing.RequestAttributes.PromptPart;

/** One request inside an engine: how far it was read and put out, and the memory that it holds. */
final class EngineJob {
  /** The most urgent first, then the oldest. */
  static final Comparator<EngineJob> URGENCY =
      Comparator.comparingInt((EngineJob job) -> job.request.priority())
          .thenComparingLong(job -> job.arrival);

  private final EngineRequest request;
  private final long arrival;
  private final int tokensPerEvent;
  private long outputTokens;
  private boolean started;
  private int cachedParts;
  private long readTokens;
  private long tokensToRead;
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

  /** Whether it has put out a token since it was submitted; before that it has not run. */
  boolean started() {
    return started;
  }

  boolean reading() {
    return tokensToRead > 0;
  }

  long tokensToRead() {
    return tokensToRead;
  }

  /** Tokens that its next token attends to. */
  long contextTokens() {
    return contextTokens;
  }

  /** Takes the memory that the prompt needs; false changes nothing. */
  boolean admit(PrefixCache memory) {
    int retained = memory.cachedPrefixTokens(request.prompt());
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
    readTokens = 0;
    reservedTokens = missingInBlocks + generated;
    generatedReserved = generated;
    tokensToRead = Math.max(1, missing + outputTokens);
    contextTokens = request.promptTokens() - missing;
    return true;
  }

  /** Prompt tokens that were kept when it was admitted and not yet extended by reading. */
  long cachedTokens() {
    return request.prompt().subList(0, cachedParts).stream().mapToLong(PromptPart::tokens).sum();
  }

  /** Reads on; parts that are whole are kept for others. */
  void read(long tokens, PrefixCache memory) {
    tokensToRead -= tokens;
    contextTokens += tokens;
    readTokens += tokens;
    while (cachedParts < request.prompt().size()
        && readTokens >= request.prompt().get(cachedParts).tokens()) {
      PromptPart part = request.prompt().get(cachedParts);
      readTokens -= part.tokens();
      reservedTokens -= memory.inBlocks(part.tokens());
      memory.publish(part);
      cachedParts++;
    }
  }

  /** Memory missing for one more token; 0 if it has capacity. */
  long tokensNeededForNext(PrefixCache memory) {
    return memory.inBlocks(outputTokens + 1) - generatedReserved;
  }

  void reserved(long tokens) {
    reservedTokens += tokens;
    generatedReserved += tokens;
  }

  /** Puts out a token; returns whether it completes an event. */
  boolean putOut() {
    started = true;
    outputTokens++;
    contextTokens++;
    return complete() || outputTokens % tokensPerEvent == 0;
  }

  boolean complete() {
    return outputTokens >= request.outputTokens();
  }

  /** Id of the event that the newest token belongs to, counted from 1. */
  long eventId() {
    return (outputTokens + tokensPerEvent - 1) / tokensPerEvent;
  }

  /** Gives back all memory; what was put out stays known. */
  void leave(PrefixCache memory) {
    request.prompt().subList(0, cachedParts).forEach(memory::unpin);
    memory.release(reservedTokens);
    cachedParts = 0;
    reservedTokens = 0;
    generatedReserved = 0;
    tokensToRead = 0;
    contextTokens = 0;
  }
}
