package slateslip.experiment.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.distribution.BackendSession;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.routing.RouterInput.BackendLoad;

/** What a router knows of a backend: its own attempts there and what it must have kept of them. */
final class KnownBackend {
  private final long memoryTokens;
  private final Map<Long, Integer> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
  private BackendSession session;
  private long cachedTokens;
  private int inFlight;
  private int waiting;
  private long pendingTokens;
  private BackendLoad load;

  KnownBackend(BackendSession session, long memoryTokens) {
    this.session = session;
    this.memoryTokens = memoryTokens;
  }

  BackendSession session() {
    return session;
  }

  void session(BackendSession newer) {
    session = newer;
  }

  int inFlight() {
    return inFlight;
  }

  int waiting() {
    return waiting;
  }

  /** Requests running or waiting there, by its last response and by the own attempts. */
  int busy() {
    return Math.max(inFlight, load == null ? 0 : load.running() + load.waiting());
  }

  void load(BackendLoad newer) {
    if (newer != null) {
      load = newer;
    }
  }

  /** Tokens that the own attempts there have still to read, as reckoned when they were sent. */
  long pendingTokens() {
    return pendingTokens;
  }

  void sent(List<PromptPart> prompt, long tokensToRead) {
    inFlight++;
    waiting++;
    pendingTokens += tokensToRead;
    for (PromptPart part : prompt) {
      Integer before = cachedParts.put(part.id(), part.tokens());
      cachedTokens += before == null ? part.tokens() : 0;
    }
    var oldest = cachedParts.entrySet().iterator();
    while (cachedTokens > memoryTokens && oldest.hasNext()) {
      cachedTokens -= oldest.next().getValue();
      oldest.remove();
    }
  }

  void begun(long tokensToRead) {
    waiting--;
    pendingTokens -= tokensToRead;
  }

  void ended(boolean hadStarted, long tokensToRead) {
    inFlight--;
    if (!hadStarted) {
      begun(tokensToRead);
    }
  }

  /** Tokens of a prompt that it has to read. */
  long missingTokens(List<PromptPart> prompt) {
    long missing = 0;
    boolean cachedTokens = true;
    for (PromptPart part : prompt) {
      cachedTokens &= cachedParts.containsKey(part.id());
      missing += cachedTokens ? 0 : part.tokens();
    }
    return missing;
  }
}
