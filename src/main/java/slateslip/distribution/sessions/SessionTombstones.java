package slateslip.distribution.sessions;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import slateslip.distribution.BackendSession;

/**
 * Incarnations that are not in the table any more, for as long as a late call of theirs may come.
 * Only what a backend has said itself is final; that another incarnation seems to have its address,
 * or that it was not heard, may be wrong, and a later call takes it back.
 */
final class SessionTombstones {
  /** Longer than any call, or copy of another agent's table, can be under way. */
  private static final long RETENTION_MICROS = 120_000_000;

  private final Map<String, Tombstone> tombstones = new LinkedHashMap<>();

  /**
   * A session that was in the table.
   *
   * @param session as it was known last
   * @param registeredAtMicros its first call
   */
  record EvictedSession(BackendSession session, long registeredAtMicros) {}

  /** The backend has said that it is gone: the incarnation never comes back. */
  void addDeregistered(String id, long nowMicros) {
    tombstones.remove(id);
    tombstones.put(id, new Tombstone(Optional.empty(), nowMicros));
  }

  /** The incarnation was not heard, or another one has its address; it may come back. */
  void addEvicted(EvictedSession evicted, long nowMicros) {
    String id = evicted.session().id();
    tombstones.remove(id);
    tombstones.put(id, new Tombstone(Optional.of(evicted), nowMicros));
  }

  /** Whether the incarnation never comes back. */
  boolean isDeregistered(String id) {
    Tombstone tombstone = tombstones.get(id);
    return tombstone != null && tombstone.evicted.isEmpty();
  }

  /** An incarnation that may come back, if it was in the table. */
  Optional<EvictedSession> evicted(String id) {
    return Optional.ofNullable(tombstones.get(id)).flatMap(Tombstone::evicted);
  }

  /** The incarnation is in the table again. */
  void remove(String id) {
    tombstones.remove(id);
  }

  /** Ids of those that never come back. */
  List<String> deregisteredIds() {
    return tombstones.entrySet().stream()
        .filter(tombstone -> tombstone.getValue().evicted.isEmpty())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Forgets what ended too long ago to matter. */
  void removeExpired(long nowMicros) {
    Iterator<Tombstone> oldestFirst = tombstones.values().iterator();
    while (oldestFirst.hasNext()
        && nowMicros - oldestFirst.next().createdAtMicros > RETENTION_MICROS) {
      oldestFirst.remove();
    }
  }

  private record Tombstone(Optional<EvictedSession> evicted, long createdAtMicros) {}
}
