package slateslip.routing.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateslip.routing.RequestAttributes.PromptPart;

/**
 * What a backend probably keeps of the prompts that this data plane sent to it.
 *
 * <p>A backend drops the parts that were unused the longest. Others send to it as well, about as
 * much each; so a part counts as kept while the tokens sent since its last use, times the data
 * planes, fit into the backend's memory.
 */
final class PrefixCacheModel {
  /** Part of the memory that cached parts have beside running requests. */
  private static final double CACHE_MEMORY_FRACTION = 0.8;

  /** Entries at which those that are dropped by now are cleared out. */
  private static final int CLEANUP_THRESHOLD = 4_096;

  private final Map<Long, Long> sentAtUse = new HashMap<>();
  private long sentTokens;

  /** Tokens at the beginning of the prompt that need not be read. */
  long cachedTokens(List<PromptPart> prompt, long memoryTokens, int agents) {
    long cachedTokens = 0;
    for (PromptPart part : prompt) {
      Long at = sentAtUse.get(part.id());
      if (at == null || isEvicted(at, memoryTokens, agents)) {
        break;
      }
      cachedTokens += part.tokens();
    }
    return cachedTokens;
  }

  /** Notes a prompt that was sent. */
  void sent(List<PromptPart> prompt, long newTokens, long memoryTokens, int agents) {
    sentTokens += newTokens;
    for (PromptPart part : prompt) {
      sentAtUse.put(part.id(), sentTokens);
    }
    if (sentAtUse.size() > CLEANUP_THRESHOLD) {
      sentAtUse.values().removeIf(at -> isEvicted(at, memoryTokens, agents));
    }
  }

  private boolean isEvicted(long at, long memoryTokens, int agents) {
    return (sentTokens - at) * (double) agents > CACHE_MEMORY_FRACTION * memoryTokens;
  }
}
