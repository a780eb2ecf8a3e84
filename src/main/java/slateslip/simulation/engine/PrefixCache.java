package slateslip.simulation.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.routing.RequestAttributes.PromptPart;

/**
 * An engine's memory in blocks, shared by running requests and kept prompt parts.
 *
 * <p>A kept part that no running request uses gives way to others, the one unused longest first.
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

  /** Tokens as whole blocks. */
  long inBlocks(long tokens) {
    return (tokens + blockTokens - 1) / blockTokens * blockTokens;
  }

  /** How many parts from the start of a prompt are kept without a gap; each counts as used now. */
  int cachedPrefixTokens(List<PromptPart> prompt) {
    int count = 0;
    for (PromptPart part : prompt) {
      if (cachedParts.get(part.id()) == null) {
        break;
      }
      count++;
    }
    return count;
  }

  /** Whether a part is kept; does not count as a use. */
  boolean keeps(long partId) {
    return cachedParts.containsKey(partId);
  }

  /** Protects a kept part while a running request uses it. */
  void pin(PromptPart part) {
    CachedPart retained = cachedParts.get(part.id());
    if (retained.pins == 0) {
      lockedTokens += retained.tokens;
    }
    retained.pins++;
  }

  /** Ends one {@link #pin}. */
  void unpin(PromptPart part) {
    CachedPart retained = cachedParts.get(part.id());
    retained.pins--;
    if (retained.pins == 0) {
      lockedTokens -= retained.tokens;
    }
  }

  /** Takes memory for one request alone, evicting unused parts; false changes nothing. */
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

  /** Gives back what {@link #reserve} took. */
  void release(long tokens) {
    usedTokens -= tokens;
    privateTokens -= tokens;
  }

  /** Keeps a part that was read into reserved memory and pins it; a second copy is freed. */
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

  /** Tokens that cannot give way. */
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
