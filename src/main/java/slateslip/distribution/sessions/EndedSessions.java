package slateslip.distribution.sessions;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Incarnations that are not in the table any more, for as long as a late call of theirs may come.
 */
final class EndedSessions {
  /** Longer than any call, or copy of another agent's table, can be under way. */
  private static final long KEPT_MICROS = 120_000_000;

  private final Map<String, Ended> ended = new LinkedHashMap<>();

  /** The incarnation never comes back. */
  void addFinal(String id, long nowMicros) {
    ended.remove(id);
    ended.put(id, new Ended(true, nowMicros, nowMicros));
  }

  /** The incarnation was not heard; it may come back. */
  void addExpired(String id, long registeredAtMicros, long nowMicros) {
    ended.remove(id);
    ended.put(id, new Ended(false, registeredAtMicros, nowMicros));
  }

  /** Whether the incarnation never comes back. */
  boolean isFinal(String id) {
    Ended entry = ended.get(id);
    return entry != null && entry.isFinal;
  }

  /** When an incarnation that expired had been registered. */
  OptionalLong registeredAt(String id) {
    Ended entry = ended.get(id);
    return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.registeredAtMicros);
  }

  /** Ids of those that never come back. */
  List<String> finalIds() {
    return ended.entrySet().stream()
        .filter(entry -> entry.getValue().isFinal)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Forgets what ended too long ago to matter. */
  void forgetBefore(long nowMicros) {
    Iterator<Ended> oldestFirst = ended.values().iterator();
    while (oldestFirst.hasNext() && nowMicros - oldestFirst.next().endedAtMicros > KEPT_MICROS) {
      oldestFirst.remove();
    }
  }

  private record Ended(boolean isFinal, long registeredAtMicros, long endedAtMicros) {}
}
