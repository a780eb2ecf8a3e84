package slateslip.routing.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateslip.routing.RequestAttributes.PromptPart;

/**
 * Estimates which parts of the prompts that this data plane sent to a backend are still in the
 * backend's prefix cache.
 *
 * <p>A backend evicts the least recently used parts first, and every data plane sends about the
 * same number of tokens to it. A part therefore counts as cached while the tokens that this data
 * plane has sent since the part's last use, multiplied by the number of data planes, fit into the
 * cache memory of the backend.
 */
final class PrefixCacheModel {
  /** Fraction of the memory that is available to cached parts; running requests occupy the rest. */
  private static final double CACHE_MEMORY_FRACTION = 0.8;

  /** Number of entries above which the entries of evicted parts are removed. */
  private static final int CLEANUP_THRESHOLD = 4_096;

  private final Map<Long, Long> sentAtUse = new HashMap<>();
  private long sentTokens;

  /**
   * Returns the number of tokens at the beginning of the prompt that are probably cached and need
   * no prefill.
   */
  long cachedTokens(List<PromptPart> prompt, long memoryTokens, int dataPlanes) {
    long cachedTokens = 0;
    for (PromptPart part : prompt) {
      Long at = sentAtUse.get(part.id());
      if (at == null || isEvicted(at, memoryTokens, dataPlanes)) {
        break;
      }
      cachedTokens += part.tokens();
    }
    return cachedTokens;
  }

  /** Records a prompt that was sent to the backend. */
  void sent(List<PromptPart> prompt, long newTokens, long memoryTokens, int dataPlanes) {
    sentTokens += newTokens;
    for (PromptPart part : prompt) {
      sentAtUse.put(part.id(), sentTokens);
    }
    if (sentAtUse.size() > CLEANUP_THRESHOLD) {
      sentAtUse.values().removeIf(at -> isEvicted(at, memoryTokens, dataPlanes));
    }
  }

  private boolean isEvicted(long at, long memoryTokens, int dataPlanes) {
    return (sentTokens - at) * (double) dataPlanes > CACHE_MEMORY_FRACTION * memoryTokens;
  }
}
