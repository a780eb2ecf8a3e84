package slateslip.loadbalancer.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.function.ToLongFunction;

/**
 * Rendezvous (highest random weight) hashing: all agents rank the backends of a key alike without
 * communication, and the removal of a backend moves only the keys of that backend.
 */
public final class RendezvousHash {
  private RendezvousHash() {}

  /** Returns the weight of a backend for a key; weights are compared as signed numbers. */
  public static long weight(long key, long backend) {
    return mix(key ^ mix(backend));
  }

  /**
   * Returns the candidate with the highest weight for a key.
   *
   * @param id returns the number that identifies a candidate at every agent
   * @param except a candidate to leave out, or null
   * @throws java.util.NoSuchElementException if no candidate is left
   */
  public static <T> T highest(Collection<T> candidates, long key, ToLongFunction<T> id, T except) {
    return candidates.stream()
        .filter(candidate -> candidate != except)
        .max(Comparator.comparingLong(candidate -> weight(key, id.applyAsLong(candidate))))
        .orElseThrow();
  }

  /** Mixes the bits of a number over all 64 bits; a bijection. */
  public static long mix(long number) {
    long z = (number + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 29) * 0x94d049bb133111ebL;
    return z ^ z >>> 32;
  }

  /** Maps a key to [0, 1), so that a threshold selects a fixed fraction of the keys. */
  public static double position(long key) {
    return (mix(key) >>> 11) * 0x1p-53;
  }
}
