package slateslip.distribution.sessions;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the newest changes of a session table, so that a reader with an older revision receives
 * only the changes since that revision.
 */
final class SessionChangeLog {
  private static final int MAX_CHANGES = 4_096;

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long revision;

  void changed(String id) {
    add(id, false);
  }

  void removed(String id) {
    add(id, true);
  }

  /** Drops all changes, so that every reader has to take the full table. */
  void restart() {
    revision++;
    entries.clear();
  }

  long revision() {
    return revision;
  }

  /**
   * Returns the changes after a revision, each id once; empty if the log no longer reaches back to
   * that revision.
   */
  Optional<SessionChangeSet> changesAfter(long readerRevision) {
    long oldestKnown = entries.isEmpty() ? revision : entries.peekFirst().revision - 1;
    if (readerRevision < oldestKnown) {
      return Optional.empty();
    }
    Map<String, Boolean> removedById = new LinkedHashMap<>();
    for (Entry entry : entries) {
      if (entry.revision > readerRevision) {
        removedById.put(entry.id, entry.removed);
      }
    }
    return Optional.of(new SessionChangeSet(ids(removedById, false), ids(removedById, true)));
  }

  private static List<String> ids(Map<String, Boolean> removedById, boolean removed) {
    return removedById.entrySet().stream()
        .filter(entry -> entry.getValue() == removed)
        .map(Map.Entry::getKey)
        .toList();
  }

  private void add(String id, boolean removed) {
    revision++;
    entries.addLast(new Entry(revision, id, removed));
    if (entries.size() > MAX_CHANGES) {
      entries.removeFirst();
    }
  }

  private record Entry(long revision, String id, boolean removed) {}
}
