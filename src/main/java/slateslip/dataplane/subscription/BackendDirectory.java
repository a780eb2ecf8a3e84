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
 * Registered backends as control agents tell of them. Of one incarnation only what is newer counts,
 * so that an agent that lags behind brings back neither a backend that was told to be gone nor one
 * that drains. One that was only missing in an agent's list may come back as it was: that agent may
 * not have heard of it yet.
 */
final class BackendDirectory {
  /** How long a backend that is gone is remembered. */
  private static final long GONE_MILLIS = 60_000;

  /**
   * A backend that is not listed any more.
   *
   * @param sequence of what was known last
   * @param announced whether an agent has said so; else it was missing in an agent's whole list
   */
  private record Gone(long sequence, boolean announced, long atMillis) {
    /** Whether a session is not newer than what is gone. */
    boolean covers(BackendSession session) {
      return announced ? session.sequence() <= sequence : session.sequence() < sequence;
    }
  }

  private final Map<String, BackendSession> sessions = new LinkedHashMap<>();
  private final Map<String, Gone> gone = new HashMap<>();

  /** All backends. */
  List<BackendSession> all() {
    return List.copyOf(sessions.values());
  }

  /**
   * Takes the whole list of one agent.
   *
   * @param complete whether what is missing is gone
   * @return whether the list has changed
   */
  boolean snapshot(long nowMillis, boolean complete, List<BackendSession> listed) {
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

  /** Takes a change of one agent's list; returns whether this list has changed. */
  boolean delta(long nowMillis, List<BackendSession> changedSessions, List<String> goneIds) {
    boolean changed = false;
    for (BackendSession session : changedSessions) {
      changed |= put(session);
    }
    for (String id : goneIds) {
      changed |= remove(nowMillis, id, true);
    }
    return changed;
  }

  /** Forgets backends that are gone for long. */
  void expire(long nowMillis) {
    for (Iterator<Gone> each = gone.values().iterator(); each.hasNext(); ) {
      if (nowMillis - each.next().atMillis >= GONE_MILLIS) {
        each.remove();
      }
    }
  }

  private boolean put(BackendSession session) {
    BackendSession known = sessions.get(session.id());
    if (known != null && known.sequence() > session.sequence()) {
      return false;
    }
    Gone before = gone.get(session.id());
    if (before != null && before.covers(session)) {
      return false;
    }
    gone.remove(session.id());
    sessions.put(session.id(), session);
    return known == null || !sameForRouting(known, session);
  }

  /** Whether two states of an incarnation differ in nothing but their number and the time left. */
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
    BackendSession known = sessions.remove(id);
    if (known != null) {
      gone.put(id, new Gone(known.sequence(), announced, nowMillis));
      return true;
    }
    Gone before = gone.get(id);
    if (before != null && announced) {
      gone.put(id, new Gone(before.sequence, true, nowMillis));
    }
    return false;
  }
}
