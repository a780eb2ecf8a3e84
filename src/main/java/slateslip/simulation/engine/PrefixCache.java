package slateslip.simulation.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.routing.RequestAttributes.PromptPart;

/**
 * The memory of an engine in blocks, shared by running requests and cached prompt parts.
 *
 * <p>Cached parts that no running request uses are evicted when memory is needed, the least
 * recently used part first.
 */
final class PrefixCache {
  private final long capacityTokens;
  private final int blockTokens;
  private final Map<Long, CachedPart> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
  private long usedTokens;
  private long lockedTokens;
  private long privateTokens;

  PrefixCache(long capacityTokens, int blockTokens) {
    this.capacityTokens = capacityTokens;
    this.blockTokens = blockTokens;
  }

  /** Rounds a number of tokens up to whole blocks. */
  long inBlocks(long tokens) {
    return (tokens + blockTokens - 1) / blockTokens * blockTokens;
  }

  /**
   * Returns the number of leading parts of a prompt that are cached without a gap, and marks these
   * parts as recently used.
   */
  int cachedPrefixLength(List<PromptPart> prompt) {
    int count = 0;
    for (PromptPart part : prompt) {
      if (cachedParts.get(part.id()) == null) {
        break;
      }
      count++;
    }
    return count;
  }

  /** Returns whether a part is cached; does not mark the part as recently used. */
  boolean isCached(long partId) {
    return cachedParts.containsKey(partId);
  }

  /** Protects a cached part from eviction while a running request uses the part. */
  void pin(PromptPart part) {
    CachedPart retained = cachedParts.get(part.id());
    if (retained.pins == 0) {
      lockedTokens += retained.tokens;
    }
    retained.pins++;
  }

  /** Reverts one call of {@link #pin}. */
  void unpin(PromptPart part) {
    CachedPart retained = cachedParts.get(part.id());
    retained.pins--;
    if (retained.pins == 0) {
      lockedTokens -= retained.tokens;
    }
  }

  /**
   * Reserves private memory for one request and evicts unused parts if necessary; returns false,
   * without any change, if the memory does not suffice.
   */
  boolean reserve(long tokens) {
    if (lockedTokens + privateTokens + tokens > capacityTokens) {
      return false;
    }
    Iterator<CachedPart> leastRecentFirst = cachedParts.values().iterator();
    while (usedTokens + tokens > capacityTokens) {
      CachedPart candidate = leastRecentFirst.next();
      if (candidate.pins == 0) {
        usedTokens -= candidate.tokens;
        leastRecentFirst.remove();
      }
    }
    usedTokens += tokens;
    privateTokens += tokens;
    return true;
  }

  /** Releases memory that {@link #reserve} reserved. */
  void release(long tokens) {
    usedTokens -= tokens;
    privateTokens -= tokens;
  }

  /**
   * Moves a prefilled part from reserved memory to the cache and pins the part; frees the reserved
   * memory if the part is already cached.
   */
  void publish(PromptPart part) {
    long tokens = inBlocks(part.tokens());
    release(tokens);
    CachedPart retained = cachedParts.get(part.id());
    if (retained == null) {
      cachedParts.put(part.id(), new CachedPart(tokens));
      usedTokens += tokens;
    }
    pin(part);
  }

  /**
   * Returns the memory of running requests, pinned parts included, in tokens; this memory cannot be
   * evicted.
   */
  long lockedTokens() {
    return lockedTokens + privateTokens;
  }

  private static final class CachedPart {
    private final long tokens;
    private int pins;

    CachedPart(long tokens) {
      this.tokens = tokens;
    }
  }
}
