package slateslip.experiment.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.distribution.BackendSession;
import slateslip.routing.RequestFacts.PromptPart;
import slateslip.routing.RouterInput.BackendLoad;

/** What a router knows of a backend: its own attempts there and what it must have kept of them. */
final class KnownBackend {
  private final long memoryTokens;
  private final Map<Long, Integer> keptParts = new LinkedHashMap<>(16, 0.75f, true);
  private BackendSession session;
  private long keptTokens;
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

  /** Requests running or waiting there, by its last answer and by the own attempts. */
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
      Integer before = keptParts.put(part.id(), part.tokens());
      keptTokens += before == null ? part.tokens() : 0;
    }
    var oldest = keptParts.entrySet().iterator();
    while (keptTokens > memoryTokens && oldest.hasNext()) {
      keptTokens -= oldest.next().getValue();
      oldest.remove();
    }
  }

  void begun(long tokensToRead) {
    waiting--;
    pendingTokens -= tokensToRead;
  }

  void ended(boolean hadBegun, long tokensToRead) {
    inFlight--;
    if (!hadBegun) {
      begun(tokensToRead);
    }
  }

  /** Tokens of a prompt that it has to read. */
  long missingTokens(List<PromptPart> prompt) {
    long missing = 0;
    boolean kept = true;
    for (PromptPart part : prompt) {
      kept &= keptParts.containsKey(part.id());
      missing += kept ? 0 : part.tokens();
    }
    return missing;
  }
}
