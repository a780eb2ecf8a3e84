package slateslip.dataplane.subscription;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateslip.distribution.BackendSession;

/**
 * Registered backends as reported by the control agents. An older state of a backend incarnation is
 * ignored, so that an agent that lags behind restores neither a backend that was reported as
 * removed nor a backend's state before it began to drain. A backend that was only missing from the
 * complete list of an agent may return with the same sequence number, because that agent may not
 * have received the registration yet.
 */
final class BackendDirectory {
  /** How long the removal of a backend is remembered, in milliseconds. */
  private static final long REMOVAL_RETENTION_MILLIS = 60_000;

  /**
   * The removal of a backend.
   *
   * @param sequence sequence number of the last known state of the backend
   * @param announced whether an agent reported the removal; otherwise the backend was missing from
   *     the complete list of an agent
   * @param atMillis time of the removal on the steady clock, in milliseconds
   */
  private record Removal(long sequence, boolean announced, long atMillis) {
    /**
     * Returns whether a session is not newer than this removal, so that the backend stays removed.
     */
    boolean supersedes(BackendSession session) {
      return announced ? session.sequence() <= sequence : session.sequence() < sequence;
    }
  }

  private final Map<String, BackendSession> sessions = new LinkedHashMap<>();
  private final Map<String, Removal> removals = new HashMap<>();

  /** Returns all registered backends. */
  List<BackendSession> all() {
    return List.copyOf(sessions.values());
  }

  /**
   * Applies the list of backends of one agent.
   *
   * @param complete whether the list contains all backends, so that missing backends are removed
   * @return whether the directory has changed in a way that matters for routing
   */
  boolean applySnapshot(long nowMillis, boolean complete, List<BackendSession> listed) {
    boolean changed = false;
    Set<String> present = new HashSet<>();
    for (BackendSession session : listed) {
      present.add(session.id());
      changed |= put(session);
    }
    if (complete) {
      for (String id : List.copyOf(sessions.keySet())) {
        changed |= !present.contains(id) && remove(nowMillis, id, false);
      }
    }
    return changed;
  }

  /**
   * Applies a change to the list of one agent. Returns whether the directory has changed in a way
   * that matters for routing.
   */
  boolean applyDelta(long nowMillis, List<BackendSession> updated, List<String> removedIds) {
    boolean changed = false;
    for (BackendSession session : updated) {
      changed |= put(session);
    }
    for (String id : removedIds) {
      changed |= remove(nowMillis, id, true);
    }
    return changed;
  }

  /** Discards removals that are older than the retention time. */
  void expire(long nowMillis) {
    for (Iterator<Removal> each = removals.values().iterator(); each.hasNext(); ) {
      if (nowMillis - each.next().atMillis >= REMOVAL_RETENTION_MILLIS) {
        each.remove();
      }
    }
  }

  private boolean put(BackendSession session) {
    BackendSession current = sessions.get(session.id());
    if (current != null && current.sequence() > session.sequence()) {
      return false;
    }
    Removal removal = removals.get(session.id());
    if (removal != null && removal.supersedes(session)) {
      return false;
    }
    removals.remove(session.id());
    sessions.put(session.id(), session);
    return current == null || !sameForRouting(current, session);
  }

  /**
   * Returns whether two states of an incarnation differ only in their sequence number and the
   * length of the remaining warm-up.
   */
  private static boolean sameForRouting(BackendSession one, BackendSession other) {
    return one.draining() == other.draining()
        && one.address().equals(other.address())
        && one.service().equals(other.service())
        && one.zone().equals(other.zone())
        && one.version().equals(other.version())
        && one.slots() == other.slots()
        && (one.remainingWarmupMillis() > 0) == (other.remainingWarmupMillis() > 0);
  }

  private boolean remove(long nowMillis, String id, boolean announced) {
    BackendSession current = sessions.remove(id);
    if (current != null) {
      removals.put(id, new Removal(current.sequence(), announced, nowMillis));
      return true;
    }
    Removal removal = removals.get(id);
    if (removal != null && announced) {
      removals.put(id, new Removal(removal.sequence, true, nowMillis));
    }
    return false;
  }
}
