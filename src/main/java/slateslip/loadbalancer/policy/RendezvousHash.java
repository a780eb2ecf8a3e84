package slateslip.loadbalancer.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.function.ToLongFunction;

/**
 * Highest random weight hashing: all agents order the backends of a key alike without talking to
 * each other, and a backend that goes moves only its own keys.
 */
public final class RendezvousHash {
  private RendezvousHash() {}

  /** The weight of a backend for a key; compared as signed numbers. */
  public static long weight(long key, long backend) {
    return mix(key ^ mix(backend));
  }

  /**
   * The candidate with the highest weight for a key.
   *
   * @param id what identifies a candidate at every agent
   * @param except left out; may be null
   * @throws java.util.NoSuchElementException if no candidate is left
   */
  public static <T> T highest(Collection<T> candidates, long key, ToLongFunction<T> id, T except) {
    return candidates.stream()
        .filter(candidate -> candidate != except)
        .max(Comparator.comparingLong(candidate -> weight(key, id.applyAsLong(candidate))))
        .orElseThrow();
  }

  /** Spreads the bits of a number over all 64; one to one. */
  public static long mix(long number) {
    long z = (number + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 29) * 0x94d049bb133111ebL;
    return z ^ z >>> 32;
  }

  /** The place of a key between 0 and 1, by which a share of the keys is told from the rest. */
  public static double position(long key) {
    return (mix(key) >>> 11) * 0x1p-53;
  }
}
