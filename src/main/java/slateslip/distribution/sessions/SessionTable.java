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
 * Holds the backend sessions that one control agent knows, from heartbeats of backends and from
 * other agents.
 *
 * <p>An incarnation id identifies one incarnation of a backend. The {@code sequence} orders the
 * heartbeats of an incarnation; an older heartbeat changes nothing. An incarnation that has
 * deregistered never comes back. A session that was not renewed for {@code expiryMicros} is
 * dropped, and may come back.
 *
 * <p>Of two incarnations at one address, the table holds the incarnation that registered later.
 * Ages that a stalled peer reports may select the wrong incarnation, so the selection is never
 * final: the other incarnation comes back when it sends a heartbeat and the incarnation in the
 * table has been silent for longer than a live backend ever is. Times are of the host's steady
 * clock, in microseconds.
 */
public final class SessionTable {
  private static final long MICROS_PER_MILLI = 1_000;

  private static final String LOCAL = "";

  private final long expiryMicros;

  /** Longer than the heartbeat interval of a live backend; the expiry time is three intervals. */
  private final long livenessTimeoutMicros;

  private final Map<String, TrackedSession> tracked = new HashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private final SessionTombstones tombstones = new SessionTombstones();
  private final SessionChangeLog changeLog = new SessionChangeLog();
  private long expirySuspendedUntilMicros;
  private boolean complete;

  /**
   * Creates an empty table that is not complete.
   *
   * @param expiryMicros how long a session stays in the table without a heartbeat
   */
  public SessionTable(long expiryMicros) {
    this.expiryMicros = expiryMicros;
    livenessTimeoutMicros = expiryMicros / 2;
  }

  /** Processes a heartbeat that a backend has sent to this agent. */
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
    boolean adopted = !trackedSession.heartbeatSource.equals(LOCAL);
    trackedSession.heartbeatSource = LOCAL;
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

  private long registeredAtMicros(BackendSession session, long firstHeartbeatMicros) {
    return tombstones
        .evicted(session.id())
        .map(evicted -> Math.min(evicted.registeredAtMicros(), firstHeartbeatMicros))
        .orElse(firstHeartbeatMicros);
  }

  /**
   * Processes the deregistration of a backend. The incarnation never comes back. Returns whether
   * the deregistration was not known before.
   */
  public boolean deregister(long nowMicros, String id) {
    boolean isNew = !tombstones.isDeregistered(id);
    tombstones.addDeregistered(id, nowMicros);
    if (tracked.containsKey(id)) {
      remove(id);
    } else if (isNew) {
      changeLog.removed(id); // an agent that lost its table may have published the session
    }
    return isNew;
  }

  /** Merges a session entry that a peer has sent. */
  public void merge(long nowMicros, String peer, SessionEntry entry) {
    BackendSession session = entry.session();
    long lastHeartbeatMicros = nowMicros - entry.heardAgeMillis() * MICROS_PER_MILLI;
    long registeredAtMicros = nowMicros - entry.registeredAgeMillis() * MICROS_PER_MILLI;
    if (tombstones.isDeregistered(session.id())) {
      return;
    }
    TrackedSession trackedSession = tracked.get(session.id());
    if (trackedSession == null) {
      mergeUnknown(
          nowMicros,
          peer,
          session,
          registeredAtMicros(session, registeredAtMicros),
          lastHeartbeatMicros);
      return;
    }
    if (nowMicros - lastHeartbeatMicros < expiryMicros) {
      trackedSession.recordHeartbeat(lastHeartbeatMicros, peer);
    }
    trackedSession.registeredAtMicros =
        Math.min(trackedSession.registeredAtMicros, registeredAtMicros);
    if (session.sequence() > trackedSession.session.sequence()) {
      renew(trackedSession, session, trackedSession.lastHeartbeatMicros);
    }
  }

  /**
   * Merges an entry of a session that is not in the table. If the last heartbeat is older than the
   * expiry time, the session is only kept among the tombstones, because renewals may follow.
   */
  private void mergeUnknown(
      long nowMicros,
      String peer,
      BackendSession session,
      long registeredAtMicros,
      long lastHeartbeatMicros) {
    if (nowMicros - lastHeartbeatMicros < expiryMicros) {
      add(session, registeredAtMicros, lastHeartbeatMicros, peer);
    } else if (isNewer(session)) {
      tombstones.addEvicted(
          new SessionTombstones.EvictedSession(session, registeredAtMicros), nowMicros);
    }
  }

  /** Merges a renewal from a peer. Returns false if the session is unknown or has deregistered. */
  public boolean merge(long nowMicros, String peer, SessionRenewal renewal) {
    long lastHeartbeatMicros = nowMicros - renewal.heardAgeMillis() * MICROS_PER_MILLI;
    TrackedSession trackedSession = tracked.get(renewal.id());
    if (trackedSession != null) {
      trackedSession.recordHeartbeat(lastHeartbeatMicros, peer);
      return true;
    }
    Optional<SessionTombstones.EvictedSession> evicted = tombstones.evicted(renewal.id());
    if (evicted.isPresent() && nowMicros - lastHeartbeatMicros < expiryMicros) {
      SessionTombstones.EvictedSession restoredSession = evicted.get();
      if (add(
          restoredSession.session(),
          restoredSession.registeredAtMicros(),
          lastHeartbeatMicros,
          peer)) {
        tracked.get(renewal.id()).restored = true;
      }
    }
    return evicted.isPresent();
  }

  /**
   * Drops sessions that were not renewed within the expiry time. Drops nothing while expiry is
   * suspended, because heartbeats may not have reached this agent.
   */
  public void expire(long nowMicros) {
    tombstones.removeExpired(nowMicros);
    if (nowMicros < expirySuspendedUntilMicros) {
      return;
    }
    List<String> expired = new ArrayList<>();
    for (TrackedSession trackedSession : tracked.values()) {
      if (nowMicros - trackedSession.lastHeartbeatMicros >= expiryMicros
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

  /**
   * Suspends the expiry of all sessions for one expiry time from now, because heartbeats may not
   * have reached this agent.
   */
  public void suspendExpiry(long nowMicros) {
    expirySuspendedUntilMicros = Math.max(expirySuspendedUntilMicros, nowMicros + expiryMicros);
  }

  /**
   * Suspends, for one expiry time from now, the expiry of sessions whose newest heartbeat was
   * reported by this peer. Their backends may go on calling the peer, whose updates do not arrive,
   * until they call another agent.
   */
  public void suspendExpiry(long nowMicros, String peer) {
    for (TrackedSession trackedSession : tracked.values()) {
      if (trackedSession.heartbeatSource.equals(peer)) {
        trackedSession.expirySuspendedUntilMicros = nowMicros + expiryMicros;
      }
    }
  }

  /** Marks the table as complete: from now on, a backend that is not in the table is gone. */
  public void markComplete() {
    if (!complete) {
      complete = true;
      changeLog.restart();
    }
  }

  /** Returns whether a backend that is not in the table is gone. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns the revision of the table, which rises with each change that data planes see. */
  public long revision() {
    return changeLog.revision();
  }

  /** Returns the changes after a revision; empty if the change log no longer contains them. */
  public Optional<SessionChangeSet> changesAfter(long revision) {
    return changeLog.changesAfter(revision);
  }

  /** Returns a session as published to data planes; empty if the table does not hold it. */
  public Optional<BackendSession> session(String id) {
    return Optional.ofNullable(tracked.get(id)).map(TrackedSession::publishedSession);
  }

  /** Returns all sessions as published to data planes. */
  public List<BackendSession> sessions() {
    return tracked.values().stream().map(TrackedSession::publishedSession).toList();
  }

  /** Returns a session as sent to other agents; empty if the table does not hold it. */
  public Optional<SessionEntry> entry(long nowMicros, String id) {
    return Optional.ofNullable(tracked.get(id))
        .map(trackedSession -> trackedSession.toEntry(nowMicros));
  }

  /** Returns all sessions as sent to other agents. */
  public List<SessionEntry> entries(long nowMicros) {
    return tracked.values().stream()
        .map(trackedSession -> trackedSession.toEntry(nowMicros))
        .toList();
  }

  /** Returns the ids of backends that have deregistered. */
  public List<String> deregisteredIds() {
    return tombstones.deregisteredIds();
  }

  /** Returns whether a backend has deregistered. */
  public boolean isDeregistered(String id) {
    return tombstones.isDeregistered(id);
  }

  private boolean add(
      BackendSession session,
      long registeredAtMicros,
      long lastHeartbeatMicros,
      String heartbeatSource) {
    TrackedSession incumbent = tracked.get(idByAddress.getOrDefault(session.address(), ""));
    if (incumbent != null) {
      boolean incumbentIsNewer = incumbent.registeredAtMicros > registeredAtMicros;
      boolean incumbentIsAlive =
          lastHeartbeatMicros - incumbent.lastHeartbeatMicros < livenessTimeoutMicros;
      if (incumbentIsNewer && incumbentIsAlive) {
        tombstones.addEvicted(
            new SessionTombstones.EvictedSession(session, registeredAtMicros), lastHeartbeatMicros);
        return false;
      }
      evict(incumbent, lastHeartbeatMicros);
    }
    tombstones.remove(session.id());
    tracked.put(
        session.id(),
        new TrackedSession(session, registeredAtMicros, lastHeartbeatMicros, heartbeatSource));
    idByAddress.put(session.address(), session.id());
    changeLog.changed(session.id());
    return true;
  }

  /** Applies a newer heartbeat. Returns whether data planes see a difference. */
  private boolean renew(
      TrackedSession trackedSession, BackendSession session, long lastHeartbeatMicros) {
    BackendSession before = trackedSession.session;
    if (!before.address().equals(session.address())) {
      remove(before.id());
      return add(
          session,
          trackedSession.registeredAtMicros,
          lastHeartbeatMicros,
          trackedSession.heartbeatSource);
    }
    trackedSession.session = session;
    trackedSession.restored = false;
    trackedSession.lastHeartbeatMicros = lastHeartbeatMicros;
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

  /** A session with the times of its registration and of its newest heartbeat. */
  private static final class TrackedSession {
    private BackendSession session;
    private long registeredAtMicros;
    private long lastHeartbeatMicros;
    private long expirySuspendedUntilMicros;

    /** Whether a renewal, which contains no sequence number, has restored the session. */
    private boolean restored;

    /** Source of the newest heartbeat: a peer's address, or {@link #LOCAL} for this agent. */
    private String heartbeatSource;

    private TrackedSession(
        BackendSession session,
        long registeredAtMicros,
        long lastHeartbeatMicros,
        String heartbeatSource) {
      this.session = session;
      this.registeredAtMicros = registeredAtMicros;
      this.lastHeartbeatMicros = lastHeartbeatMicros;
      this.heartbeatSource = heartbeatSource;
    }

    private void recordHeartbeat(long atMicros, String peer) {
      if (atMicros > lastHeartbeatMicros) {
        lastHeartbeatMicros = atMicros;
        heartbeatSource = peer;
      }
    }

    /**
     * Returns the session as published to data planes. Data planes were notified that a restored
     * session was gone, so they accept it only with a higher sequence number. The backend has sent
     * a heartbeat since, so the higher number is correct.
     */
    private BackendSession publishedSession() {
      return restored ? session.withSequence(session.sequence() + 1) : session;
    }

    private SessionEntry toEntry(long nowMicros) {
      return new SessionEntry(
          session,
          (nowMicros - registeredAtMicros) / MICROS_PER_MILLI,
          (nowMicros - lastHeartbeatMicros) / MICROS_PER_MILLI);
    }
  }
}
