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
  private static final long KEPT_MICROS = 120_000_000;

  private final Map<String, Tombstone> ended = new LinkedHashMap<>();

  /**
   * A session that was in the table.
   *
   * @param session as it was known last
   * @param registeredAtMicros its first call
   */
  record EvictedSession(BackendSession session, long registeredAtMicros) {}

  /** The backend has said that it is gone: the incarnation never comes back. */
  void addDeparted(String id, long nowMicros) {
    ended.remove(id);
    ended.put(id, new Tombstone(Optional.empty(), nowMicros));
  }

  /** The incarnation was not heard, or another one has its address; it may come back. */
  void addFormer(EvictedSession former, long nowMicros) {
    String id = former.session().id();
    ended.remove(id);
    ended.put(id, new Tombstone(Optional.of(former), nowMicros));
  }

  /** Whether the incarnation never comes back. */
  boolean isDeparted(String id) {
    Tombstone entry = ended.get(id);
    return entry != null && entry.former.isEmpty();
  }

  /** An incarnation that may come back, if it was in the table. */
  Optional<EvictedSession> former(String id) {
    return Optional.ofNullable(ended.get(id)).flatMap(Tombstone::former);
  }

  /** The incarnation is in the table again. */
  void remove(String id) {
    ended.remove(id);
  }

  /** Ids of those that never come back. */
  List<String> departedIds() {
    return ended.entrySet().stream()
        .filter(entry -> entry.getValue().former.isEmpty())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Forgets what ended too long ago to matter. */
  void forgetBefore(long nowMicros) {
    Iterator<Tombstone> oldestFirst = ended.values().iterator();
    while (oldestFirst.hasNext() && nowMicros - oldestFirst.next().endedAtMicros > KEPT_MICROS) {
      oldestFirst.remove();
    }
  }

  private record Tombstone(Optional<EvictedSession> former, long endedAtMicros) {}
}
