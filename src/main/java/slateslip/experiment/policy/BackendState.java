package slateslip.experiment.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.distribution.BackendSession;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * State of one backend as seen by one router: the attempts that the router has in flight there, and
 * an estimate of the prompt parts that the backend has cached for this router.
 */
final class BackendState {
  private final long memoryTokens;
  private final Map<Long, Integer> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
  private BackendSession session;
  private long cachedTokens;
  private int inFlight;
  private int waiting;
  private long pendingTokens;
  private BackendLoad load;

  BackendState(BackendSession session, long memoryTokens) {
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

  /**
   * Returns the larger of two estimates of the running and waiting requests: the load in the
   * backend's last response, and the number of attempts that this router has in flight there.
   */
  int loadEstimate() {
    return Math.max(inFlight, load == null ? 0 : load.running() + load.waiting());
  }

  void load(BackendLoad newer) {
    if (newer != null) {
      load = newer;
    }
  }

  /**
   * Returns the prompt tokens that the backend has yet to process for attempts of this router. The
   * tokens of each attempt are estimated when the attempt is sent.
   */
  long pendingTokens() {
    return pendingTokens;
  }

  void attemptSent(List<PromptPart> prompt, long uncachedTokens) {
    inFlight++;
    waiting++;
    pendingTokens += uncachedTokens;
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

  void attemptStarted(long uncachedTokens) {
    waiting--;
    pendingTokens -= uncachedTokens;
  }

  void attemptEnded(boolean responseStarted, long uncachedTokens) {
    inFlight--;
    if (!responseStarted) {
      attemptStarted(uncachedTokens);
    }
  }

  /**
   * Returns the number of prompt tokens after the longest prefix that the backend is assumed to
   * have cached.
   */
  long uncachedTokens(List<PromptPart> prompt) {
    long missing = 0;
    boolean cached = true;
    for (PromptPart part : prompt) {
      cached &= cachedParts.containsKey(part.id());
      missing += cached ? 0 : part.tokens();
    }
    return missing;
  }
}
