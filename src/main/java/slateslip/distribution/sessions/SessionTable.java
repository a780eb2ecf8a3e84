package slateslip.distribution.sessions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import slateslip.distribution.BackendSession;
import slateslip.distribution.exchange.SessionEntry;
import slateslip.distribution.exchange.SessionRenewal;

/**
 * The sessions that one control agent knows: from backends that call it, and from other agents.
 *
 * <p>An incarnation id names one life of a backend. Its {@code sequence} orders what it says; an
 * older call changes nothing. Once it has said that it is gone, it never comes back. A session that
 * was not renewed for {@code expiryMicros} is dropped, and may come back.
 *
 * <p>Of two incarnations at one address the one that was registered later is in the table. Ages
 * told by a peer that was held up may name the wrong one, so this is never final: the other one
 * comes back when it is heard and the one in the table has been silent for longer than live
 * backends are. Times are of the host's steady clock, in microseconds.
 */
public final class SessionTable {
  private static final long MICROS_PER_MILLI = 1_000;

  private static final String SELF = "";

  private final long expiryMicros;

  /** A live backend is heard more often than this: expiry takes three heartbeats. */
  private final long silenceMicros;

  private final Map<String, TrackedSession> held = new HashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private final SessionTombstones ended = new SessionTombstones();
  private final SessionChangeLog log = new SessionChangeLog();
  private long noExpiryBeforeMicros;
  private boolean complete;

  /**
   * An empty table that is not complete.
   *
   * @param expiryMicros how long a session lives without a call
   */
  public SessionTable(long expiryMicros) {
    this.expiryMicros = expiryMicros;
    silenceMicros = expiryMicros / 2;
  }

  /** A call of a backend. */
  public HeartbeatResult heartbeat(long nowMicros, BackendSession session) {
    if (ended.isDeparted(session.id())) {
      return HeartbeatResult.STALE;
    }
    TrackedSession known = held.get(session.id());
    if (known == null) {
      return isNews(session) && add(session, registeredAt(session, nowMicros), nowMicros, SELF)
          ? HeartbeatResult.CHANGED
          : HeartbeatResult.STALE;
    }
    if (session.sequence() <= known.session.sequence()) {
      return HeartbeatResult.STALE;
    }
    boolean adopted = !known.heardFrom.equals(SELF);
    known.heardFrom = SELF;
    if (renew(known, session, nowMicros)) {
      return HeartbeatResult.CHANGED;
    }
    return adopted ? HeartbeatResult.ADOPTED : HeartbeatResult.RENEWED;
  }

  private boolean isNews(BackendSession session) {
    return ended
        .former(session.id())
        .map(former -> session.sequence() > former.session().sequence())
        .orElse(true);
  }

  private long registeredAt(BackendSession session, long firstHeardMicros) {
    return ended
        .former(session.id())
        .map(former -> Math.min(former.registeredAtMicros(), firstHeardMicros))
        .orElse(firstHeardMicros);
  }

  /** A backend has said that it is gone; whether that was new. */
  public boolean depart(long nowMicros, String id) {
    boolean news = !ended.isDeparted(id);
    ended.addDeparted(id, nowMicros);
    if (held.containsKey(id)) {
      drop(id);
    } else if (news) {
      log.gone(id); // data planes may know it from an agent that has lost its table since
    }
    return news;
  }

  /** Takes over what a peer holds. */
  public void merge(long nowMicros, String peer, SessionEntry entry) {
    BackendSession session = entry.session();
    long heardAt = nowMicros - entry.heardAgeMillis() * MICROS_PER_MILLI;
    long registeredAt = nowMicros - entry.registeredAgeMillis() * MICROS_PER_MILLI;
    if (ended.isDeparted(session.id())) {
      return;
    }
    TrackedSession known = held.get(session.id());
    if (known == null) {
      mergeUnknown(nowMicros, peer, session, registeredAt(session, registeredAt), heardAt);
      return;
    }
    if (nowMicros - heardAt < expiryMicros) {
      known.heard(heardAt, peer);
    }
    known.registeredAtMicros = Math.min(known.registeredAtMicros, registeredAt);
    if (session.sequence() > known.session.sequence()) {
      renew(known, session, known.heardAtMicros);
    }
  }

  /** One that was not heard for long is only remembered: renewals of it may follow. */
  private void mergeUnknown(
      long nowMicros, String peer, BackendSession session, long registeredAt, long heardAt) {
    if (nowMicros - heardAt < expiryMicros) {
      add(session, registeredAt, heardAt, peer);
    } else if (isNews(session)) {
      ended.addFormer(new SessionTombstones.EvictedSession(session, registeredAt), nowMicros);
    }
  }

  /**
   * Takes over a renewal that a peer tells of; false if the session was never known here, or has
   * departed.
   */
  public boolean merge(long nowMicros, String peer, SessionRenewal renewal) {
    long heardAt = nowMicros - renewal.heardAgeMillis() * MICROS_PER_MILLI;
    TrackedSession known = held.get(renewal.id());
    if (known != null) {
      known.heard(heardAt, peer);
      return true;
    }
    Optional<SessionTombstones.EvictedSession> former = ended.former(renewal.id());
    if (former.isPresent() && nowMicros - heardAt < expiryMicros) {
      SessionTombstones.EvictedSession back = former.get();
      if (add(back.session(), back.registeredAtMicros(), heardAt, peer)) {
        held.get(renewal.id()).revived = true;
      }
    }
    return former.isPresent();
  }

  /** Drops what has not been renewed; nothing while that would be for want of hearing. */
  public void expire(long nowMicros) {
    ended.forgetBefore(nowMicros);
    if (nowMicros < noExpiryBeforeMicros) {
      return;
    }
    List<String> expired = new ArrayList<>();
    for (TrackedSession each : held.values()) {
      if (nowMicros - each.heardAtMicros >= expiryMicros
          && nowMicros >= each.noExpiryBeforeMicros) {
        expired.add(each.session.id());
      }
    }
    for (String id : expired) {
      end(held.get(id), nowMicros);
    }
  }

  private void end(TrackedSession former, long nowMicros) {
    ended.addFormer(
        new SessionTombstones.EvictedSession(former.session, former.registeredAtMicros), nowMicros);
    drop(former.session.id());
  }

  /** Nothing expires for one expiry time from now: calls may have gone unheard. */
  public void holdExpiry(long nowMicros) {
    noExpiryBeforeMicros = Math.max(noExpiryBeforeMicros, nowMicros + expiryMicros);
  }

  /**
   * What a peer was the last to tell of does not expire for one expiry time from now: its backends
   * may call the peer, whose news do not come, until they call another agent.
   */
  public void holdExpiry(long nowMicros, String peer) {
    for (TrackedSession each : held.values()) {
      if (each.heardFrom.equals(peer)) {
        each.noExpiryBeforeMicros = nowMicros + expiryMicros;
      }
    }
  }

  /** From now on what is not in the table is gone. */
  public void markComplete() {
    if (!complete) {
      complete = true;
      log.restart();
    }
  }

  /** Whether what is not in the table is gone. */
  public boolean isComplete() {
    return complete;
  }

  /** Rises with each change that data planes see. */
  public long revision() {
    return log.revision();
  }

  /** What changed after a revision; empty if that is not known any more. */
  public Optional<SessionChangeSet> changesAfter(long revision) {
    return log.changesAfter(revision);
  }

  /** A session as data planes are told of it, if it is there. */
  public Optional<BackendSession> session(String id) {
    return Optional.ofNullable(held.get(id)).map(TrackedSession::toldSession);
  }

  /** All sessions as data planes are told of them. */
  public List<BackendSession> sessions() {
    return held.values().stream().map(TrackedSession::toldSession).toList();
  }

  /** A session as another agent takes it, if it is there. */
  public Optional<SessionEntry> entry(long nowMicros, String id) {
    return Optional.ofNullable(held.get(id)).map(known -> known.toEntry(nowMicros));
  }

  /** All sessions as another agent takes them. */
  public List<SessionEntry> entries(long nowMicros) {
    return held.values().stream().map(known -> known.toEntry(nowMicros)).toList();
  }

  /** Ids of backends that have said that they are gone. */
  public List<String> departed() {
    return ended.departedIds();
  }

  /** Whether a backend has said that it is gone. */
  public boolean isDeparted(String id) {
    return ended.isDeparted(id);
  }

  private boolean add(BackendSession session, long registeredAt, long heardAt, String heardFrom) {
    TrackedSession rival = held.get(idByAddress.getOrDefault(session.address(), ""));
    if (rival != null) {
      boolean rivalIsNewer = rival.registeredAtMicros > registeredAt;
      boolean rivalIsHeard = heardAt - rival.heardAtMicros < silenceMicros;
      if (rivalIsNewer && rivalIsHeard) {
        ended.addFormer(new SessionTombstones.EvictedSession(session, registeredAt), heardAt);
        return false;
      }
      end(rival, heardAt);
    }
    ended.remove(session.id());
    held.put(session.id(), new TrackedSession(session, registeredAt, heardAt, heardFrom));
    idByAddress.put(session.address(), session.id());
    log.changed(session.id());
    return true;
  }

  /** Puts a newer call in place; whether data planes see a difference. */
  private boolean renew(TrackedSession known, BackendSession session, long heardAt) {
    BackendSession before = known.session;
    if (!before.address().equals(session.address())) {
      drop(before.id());
      return add(session, known.registeredAtMicros, heardAt, known.heardFrom);
    }
    known.session = session;
    known.revived = false;
    known.heardAtMicros = heardAt;
    if (sameToDataPlanes(before, session)) {
      return false;
    }
    log.changed(session.id());
    return true;
  }

  private static boolean sameToDataPlanes(BackendSession first, BackendSession second) {
    return first.draining() == second.draining()
        && first.slots() == second.slots()
        && first.service().equals(second.service())
        && first.zone().equals(second.zone())
        && first.version().equals(second.version());
  }

  private void drop(String id) {
    TrackedSession dropped = held.remove(id);
    idByAddress.remove(dropped.session.address(), id);
    log.gone(id);
  }

  /** A session and when it was heard. */
  private static final class TrackedSession {
    private BackendSession session;
    private long registeredAtMicros;
    private long heardAtMicros;
    private long noExpiryBeforeMicros;

    /** Whether it has come back by a renewal, which does not tell its newest call. */
    private boolean revived;

    /** Address of the peer that told of its newest call; {@link #SELF} if the call came here. */
    private String heardFrom;

    private TrackedSession(
        BackendSession session, long registeredAtMicros, long heardAtMicros, String heardFrom) {
      this.session = session;
      this.registeredAtMicros = registeredAtMicros;
      this.heardAtMicros = heardAtMicros;
      this.heardFrom = heardFrom;
    }

    private void heard(long atMicros, String peer) {
      if (atMicros > heardAtMicros) {
        heardAtMicros = atMicros;
        heardFrom = peer;
      }
    }

    /**
     * As data planes are told of it. They were told that one that has come back was gone, so they
     * take it only with a higher number; its backend has called again since, so that is true.
     */
    private BackendSession toldSession() {
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
