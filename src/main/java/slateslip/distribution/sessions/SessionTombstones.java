package slateslip.distribution.sessions;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import slateslip.distribution.BackendSession;

/**
 * Remembers incarnations that are no longer in the table, for as long as a late heartbeat of theirs
 * may arrive. Only a deregistration by the backend itself is final. The conclusion that another
 * incarnation has taken the address, or that a backend has stopped sending heartbeats, may be
 * wrong; a later heartbeat reverses it.
 */
final class SessionTombstones {
  /**
   * How long a tombstone is kept: longer than any heartbeat, or copy of another agent's table, can
   * be in transit.
   */
  private static final long RETENTION_MICROS = 120_000_000;

  private final Map<String, Tombstone> tombstones = new LinkedHashMap<>();

  /**
   * A session that was evicted from the table, or was not admitted to it, and that may come back.
   *
   * @param session last known state of the session
   * @param registeredAtMicros time of the first heartbeat of the incarnation
   */
  record EvictedSession(BackendSession session, long registeredAtMicros) {}

  /** Records that the backend has deregistered: the incarnation never comes back. */
  void addDeregistered(String id, long nowMicros) {
    tombstones.remove(id);
    tombstones.put(id, new Tombstone(Optional.empty(), nowMicros));
  }

  /**
   * Records that the incarnation has sent no heartbeat for the expiry time, or that another
   * incarnation has its address. The incarnation may come back.
   */
  void addEvicted(EvictedSession evicted, long nowMicros) {
    String id = evicted.session().id();
    tombstones.remove(id);
    tombstones.put(id, new Tombstone(Optional.of(evicted), nowMicros));
  }

  /** Returns whether the incarnation has deregistered and therefore never comes back. */
  boolean isDeregistered(String id) {
    Tombstone tombstone = tombstones.get(id);
    return tombstone != null && tombstone.evicted.isEmpty();
  }

  /** Returns the evicted session of an incarnation that may come back; empty if there is none. */
  Optional<EvictedSession> evicted(String id) {
    return Optional.ofNullable(tombstones.get(id)).flatMap(Tombstone::evicted);
  }

  /** Removes the tombstone of an incarnation that is in the table again. */
  void remove(String id) {
    tombstones.remove(id);
  }

  /** Returns the ids of deregistered incarnations. */
  List<String> deregisteredIds() {
    return tombstones.entrySet().stream()
        .filter(tombstone -> tombstone.getValue().evicted.isEmpty())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Removes tombstones that are older than {@link #RETENTION_MICROS}. */
  void removeExpired(long nowMicros) {
    Iterator<Tombstone> oldestFirst = tombstones.values().iterator();
    while (oldestFirst.hasNext()
        && nowMicros - oldestFirst.next().createdAtMicros > RETENTION_MICROS) {
      oldestFirst.remove();
    }
  }

  private record Tombstone(Optional<EvictedSession> evicted, long createdAtMicros) {}
}
