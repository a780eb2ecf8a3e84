package slateslip.distribution.sessions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import slateslip.distribution.BackendSession;
import slateslip.distribution.peer.SessionEntry;
import slateslip.distribution.peer.SessionRenewal;

/**
 * The sessions that one control agent knows: from backends that call it, and from other agents.
 *
 * <p>An incarnation id names one incarnation of a backend. Its {@code sequence} orders what it
 * says; an older call changes nothing. Once it has said that it is gone, it never comes back. A
 * session that was not renewed for {@code expiryMicros} is dropped, and may come back.
 *
 * <p>Of two incarnations at one address the one that was registered later is in the table. Ages
 * reported by a peer that had stalled may name the wrong one, so this is never final: the other one
 * comes back when it is heard and the one in the table has been unresponsive for longer than live
 * backends are. Times are of the host's steady clock, in microseconds.
 */
public final class SessionTable {
  private static final long MICROS_PER_MILLI = 1_000;

  private static final String LOCAL = "";

  private final long expiryMicros;

  /** A live backend is heard more often than this: expiry takes three heartbeats. */
  private final long livenessTimeoutMicros;

  private final Map<String, TrackedSession> tracked = new HashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private final SessionTombstones tombstones = new SessionTombstones();
  private final SessionChangeLog changeLog = new SessionChangeLog();
  private long expirySuspendedUntilMicros;
  private boolean complete;

  /**
   * An empty table that is not complete.
   *
   * @param expiryMicros how long a session lives without a call
   */
  public SessionTable(long expiryMicros) {
    this.expiryMicros = expiryMicros;
    livenessTimeoutMicros = expiryMicros / 2;
  }

  /** A call of a backend. */
  public HeartbeatResult heartbeat(long nowMicros, BackendSession session) {
    if (tombstones.isDeregistered(session.id())) {
      return HeartbeatResult.STALE;
    }
    TrackedSession trackedSession = tracked.get(session.id());
    if (trackedSession == null) {
      return isNewer(session)
              && add(session, registeredAtMicros(session, nowMicros), nowMicros, LOCAL)
          ? HeartbeatResult.CHANGED
          : HeartbeatResult.STALE;
    }
    if (session.sequence() <= trackedSession.session.sequence()) {
      return HeartbeatResult.STALE;
    }
    boolean adopted = !trackedSession.heardFrom.equals(LOCAL);
    trackedSession.heardFrom = LOCAL;
    if (renew(trackedSession, session, nowMicros)) {
      return HeartbeatResult.CHANGED;
    }
    return adopted ? HeartbeatResult.ADOPTED : HeartbeatResult.RENEWED;
  }

  private boolean isNewer(BackendSession session) {
    return tombstones
        .evicted(session.id())
        .map(evicted -> session.sequence() > evicted.session().sequence())
        .orElse(true);
  }

  private long registeredAtMicros(BackendSession session, long firstHeardMicros) {
    return tombstones
        .evicted(session.id())
        .map(evicted -> Math.min(evicted.registeredAtMicros(), firstHeardMicros))
        .orElse(firstHeardMicros);
  }

  /** A backend has said that it is gone; whether that was new. */
  public boolean deregister(long nowMicros, String id) {
    boolean isNew = !tombstones.isDeregistered(id);
    tombstones.addDeregistered(id, nowMicros);
    if (tracked.containsKey(id)) {
      remove(id);
    } else if (isNew) {
      changeLog.removed(id); // data planes may know it from an agent that has lost its table since
    }
    return isNew;
  }

  /** Takes over what a peer holds. */
  public void merge(long nowMicros, String peer, SessionEntry entry) {
    BackendSession session = entry.session();
    long heardAtMicros = nowMicros - entry.heardAgeMillis() * MICROS_PER_MILLI;
    long registeredAtMicros = nowMicros - entry.registeredAgeMillis() * MICROS_PER_MILLI;
    if (tombstones.isDeregistered(session.id())) {
      return;
    }
    TrackedSession trackedSession = tracked.get(session.id());
    if (trackedSession == null) {
      mergeUnknown(
          nowMicros, peer, session, registeredAtMicros(session, registeredAtMicros), heardAtMicros);
      return;
    }
    if (nowMicros - heardAtMicros < expiryMicros) {
      trackedSession.recordHeard(heardAtMicros, peer);
    }
    trackedSession.registeredAtMicros =
        Math.min(trackedSession.registeredAtMicros, registeredAtMicros);
    if (session.sequence() > trackedSession.session.sequence()) {
      renew(trackedSession, session, trackedSession.heardAtMicros);
    }
  }

  /** One that was not heard for long is only remembered: renewals of it may follow. */
  private void mergeUnknown(
      long nowMicros,
      String peer,
      BackendSession session,
      long registeredAtMicros,
      long heardAtMicros) {
    if (nowMicros - heardAtMicros < expiryMicros) {
      add(session, registeredAtMicros, heardAtMicros, peer);
    } else if (isNewer(session)) {
      tombstones.addEvicted(
          new SessionTombstones.EvictedSession(session, registeredAtMicros), nowMicros);
    }
  }

  /**
   * Takes over a renewal that a peer tells of; false if the session was never known here, or has
   * departed.
   */
  public boolean merge(long nowMicros, String peer, SessionRenewal renewal) {
    long heardAtMicros = nowMicros - renewal.heardAgeMillis() * MICROS_PER_MILLI;
    TrackedSession trackedSession = tracked.get(renewal.id());
    if (trackedSession != null) {
      trackedSession.recordHeard(heardAtMicros, peer);
      return true;
    }
    Optional<SessionTombstones.EvictedSession> evicted = tombstones.evicted(renewal.id());
    if (evicted.isPresent() && nowMicros - heardAtMicros < expiryMicros) {
      SessionTombstones.EvictedSession revivedSession = evicted.get();
      if (add(revivedSession.session(), revivedSession.registeredAtMicros(), heardAtMicros, peer)) {
        tracked.get(renewal.id()).revived = true;
      }
    }
    return evicted.isPresent();
  }

  /** Drops what has not been renewed; nothing while that would be for want of hearing. */
  public void expire(long nowMicros) {
    tombstones.removeExpired(nowMicros);
    if (nowMicros < expirySuspendedUntilMicros) {
      return;
    }
    List<String> expired = new ArrayList<>();
    for (TrackedSession trackedSession : tracked.values()) {
      if (nowMicros - trackedSession.heardAtMicros >= expiryMicros
          && nowMicros >= trackedSession.expirySuspendedUntilMicros) {
        expired.add(trackedSession.session.id());
      }
    }
    for (String id : expired) {
      evict(tracked.get(id), nowMicros);
    }
  }

  private void evict(TrackedSession evicted, long nowMicros) {
    tombstones.addEvicted(
        new SessionTombstones.EvictedSession(evicted.session, evicted.registeredAtMicros),
        nowMicros);
    remove(evicted.session.id());
  }

  /** Nothing expires for one expiry time from now: calls may have gone unheard. */
  public void suspendExpiry(long nowMicros) {
    expirySuspendedUntilMicros = Math.max(expirySuspendedUntilMicros, nowMicros + expiryMicros);
  }

  /**
   * What a peer was the last to tell of does not expire for one expiry time from now: its backends
   * may call the peer, whose updates do not arrive, until they call another agent.
   */
  public void suspendExpiry(long nowMicros, String peer) {
    for (TrackedSession trackedSession : tracked.values()) {
      if (trackedSession.heardFrom.equals(peer)) {
        trackedSession.expirySuspendedUntilMicros = nowMicros + expiryMicros;
      }
    }
  }

  /** From now on what is not in the table is gone. */
  public void markComplete() {
    if (!complete) {
      complete = true;
      changeLog.restart();
    }
  }

  /** Whether what is not in the table is gone. */
  public boolean isComplete() {
    return complete;
  }

  /** Rises with each change that data planes see. */
  public long revision() {
    return changeLog.revision();
  }

  /** What changed after a revision; empty if that is not known any more. */
  public Optional<SessionChangeSet> changesAfter(long revision) {
    return changeLog.changesAfter(revision);
  }

  /** A session as published to data planes, if it is there. */
  public Optional<BackendSession> session(String id) {
    return Optional.ofNullable(tracked.get(id)).map(TrackedSession::publishedSession);
  }

  /** All sessions as published to data planes. */
  public List<BackendSession> sessions() {
    return tracked.values().stream().map(TrackedSession::publishedSession).toList();
  }

  /** A session as another agent takes it, if it is there. */
  public Optional<SessionEntry> entry(long nowMicros, String id) {
    return Optional.ofNullable(tracked.get(id))
        .map(trackedSession -> trackedSession.toEntry(nowMicros));
  }

  /** All sessions as another agent takes them. */
  public List<SessionEntry> entries(long nowMicros) {
    return tracked.values().stream()
        .map(trackedSession -> trackedSession.toEntry(nowMicros))
        .toList();
  }

  /** Ids of backends that have said that they are gone. */
  public List<String> deregisteredIds() {
    return tombstones.deregisteredIds();
  }

  /** Whether a backend has said that it is gone. */
  public boolean isDeregistered(String id) {
    return tombstones.isDeregistered(id);
  }

  private boolean add(
      BackendSession session, long registeredAtMicros, long heardAtMicros, String heardFrom) {
    TrackedSession incumbent = tracked.get(idByAddress.getOrDefault(session.address(), ""));
    if (incumbent != null) {
      boolean incumbentIsNewer = incumbent.registeredAtMicros > registeredAtMicros;
      boolean incumbentIsAlive = heardAtMicros - incumbent.heardAtMicros < livenessTimeoutMicros;
      if (incumbentIsNewer && incumbentIsAlive) {
        tombstones.addEvicted(
            new SessionTombstones.EvictedSession(session, registeredAtMicros), heardAtMicros);
        return false;
      }
      evict(incumbent, heardAtMicros);
    }
    tombstones.remove(session.id());
    tracked.put(
        session.id(), new TrackedSession(session, registeredAtMicros, heardAtMicros, heardFrom));
    idByAddress.put(session.address(), session.id());
    changeLog.changed(session.id());
    return true;
  }

  /** Puts a newer call in place; whether data planes see a difference. */
  private boolean renew(TrackedSession trackedSession, BackendSession session, long heardAtMicros) {
    BackendSession before = trackedSession.session;
    if (!before.address().equals(session.address())) {
      remove(before.id());
      return add(
          session, trackedSession.registeredAtMicros, heardAtMicros, trackedSession.heardFrom);
    }
    trackedSession.session = session;
    trackedSession.revived = false;
    trackedSession.heardAtMicros = heardAtMicros;
    if (isEquivalentForDataPlanes(before, session)) {
      return false;
    }
    changeLog.changed(session.id());
    return true;
  }

  private static boolean isEquivalentForDataPlanes(BackendSession first, BackendSession second) {
    return first.draining() == second.draining()
        && first.slots() == second.slots()
        && first.service().equals(second.service())
        && first.zone().equals(second.zone())
        && first.version().equals(second.version());
  }

  private void remove(String id) {
    TrackedSession removed = tracked.remove(id);
    idByAddress.remove(removed.session.address(), id);
    changeLog.removed(id);
  }

  /** A session and when it was heard. */
  private static final class TrackedSession {
    private BackendSession session;
    private long registeredAtMicros;
    private long heardAtMicros;
    private long expirySuspendedUntilMicros;

    /** Whether it has come back by a renewal, which does not tell its newest call. */
    private boolean revived;

    /** Address of the peer that reported its newest heartbeat; {@link #LOCAL} if it came here. */
    private String heardFrom;

    private TrackedSession(
        BackendSession session, long registeredAtMicros, long heardAtMicros, String heardFrom) {
      this.session = session;
      this.registeredAtMicros = registeredAtMicros;
      this.heardAtMicros = heardAtMicros;
      this.heardFrom = heardFrom;
    }

    private void recordHeard(long atMicros, String peer) {
      if (atMicros > heardAtMicros) {
        heardAtMicros = atMicros;
        heardFrom = peer;
      }
    }

    /**
     * As published to data planes. They were notified that one that has come back was gone, so they
     * take it only with a higher number; its backend has called again since, so that is true.
     */
    private BackendSession publishedSession() {
      return revived ? session.withSequence(session.sequence() + 1) : session;
    }

    private SessionEntry toEntry(long nowMicros) {
      return new SessionEntry(
          session,
          (nowMicros - registeredAtMicros) / MICROS_PER_MILLI,
          (nowMicros - heardAtMicros) / MICROS_PER_MILLI);
    }
  }
}
