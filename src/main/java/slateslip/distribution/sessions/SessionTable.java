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
 * older call changes nothing. Once it has said that it is gone, or another incarnation has its
 * address, it never comes back. A session that was not renewed for {@code expiryMicros} is dropped,
 * and may come back. Times are of the host's steady clock, in microseconds.
 */
public final class SessionTable {
  private static final long MICROS_PER_MILLI = 1_000;

  private final long expiryMicros;
  private final Map<String, Held> held = new HashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private final EndedSessions ended = new EndedSessions();
  private final TableLog log = new TableLog();
  private long noExpiryBeforeMicros;
  private boolean complete;

  /**
   * An empty table that is not complete.
   *
   * @param expiryMicros how long a session lives without a call
   */
  public SessionTable(long expiryMicros) {
    this.expiryMicros = expiryMicros;
  }

  /** A call of a backend. */
  public HeartbeatResult heartbeat(long nowMicros, BackendSession session) {
    if (ended.isFinal(session.id())) {
      return HeartbeatResult.STALE;
    }
    Held known = held.get(session.id());
    if (known == null) {
      return add(session, ended.registeredAt(session.id()).orElse(nowMicros), nowMicros)
          ? HeartbeatResult.CHANGED
          : HeartbeatResult.STALE;
    }
    if (session.sequence() <= known.session.sequence()) {
      return HeartbeatResult.STALE;
    }
    return renew(known, session, nowMicros) ? HeartbeatResult.CHANGED : HeartbeatResult.RENEWED;
  }

  /** A backend has said that it is gone; whether that was new. */
  public boolean depart(long nowMicros, String id) {
    boolean news = !ended.isFinal(id);
    ended.addFinal(id, nowMicros);
    if (held.containsKey(id)) {
      drop(id);
    }
    return news;
  }

  /** Takes over what another agent holds. */
  public void merge(long nowMicros, SessionEntry entry) {
    BackendSession session = entry.session();
    long heardAt = nowMicros - entry.heardAgeMillis() * MICROS_PER_MILLI;
    long registeredAt = nowMicros - entry.registeredAgeMillis() * MICROS_PER_MILLI;
    if (ended.isFinal(session.id()) || nowMicros - heardAt >= expiryMicros) {
      return;
    }
    Held known = held.get(session.id());
    if (known == null) {
      add(session, registeredAt, heardAt);
      return;
    }
    known.heardAtMicros = Math.max(known.heardAtMicros, heardAt);
    known.registeredAtMicros = Math.min(known.registeredAtMicros, registeredAt);
    if (session.sequence() > known.session.sequence()) {
      renew(known, session, known.heardAtMicros);
    }
  }

  /** Takes over a renewal; false if the session is not known here and has to be asked for whole. */
  public boolean merge(long nowMicros, SessionRenewal renewal) {
    Held known = held.get(renewal.id());
    if (known == null) {
      return ended.isFinal(renewal.id());
    }
    long heardAt = nowMicros - renewal.heardAgeMillis() * MICROS_PER_MILLI;
    known.heardAtMicros = Math.max(known.heardAtMicros, heardAt);
    return true;
  }

  /** Drops what has not been renewed; nothing while that would be for want of hearing. */
  public void expire(long nowMicros) {
    ended.forgetBefore(nowMicros);
    if (nowMicros < noExpiryBeforeMicros) {
      return;
    }
    List<String> expired = new ArrayList<>();
    for (Held each : held.values()) {
      if (nowMicros - each.heardAtMicros >= expiryMicros) {
        expired.add(each.session.id());
      }
    }
    for (String id : expired) {
      ended.addExpired(id, held.get(id).registeredAtMicros, nowMicros);
      drop(id);
    }
  }

  /** Nothing expires for one expiry time from now: calls may have gone unheard. */
  public void holdExpiry(long nowMicros) {
    noExpiryBeforeMicros = Math.max(noExpiryBeforeMicros, nowMicros + expiryMicros);
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
  public Optional<TableChange> changesAfter(long revision) {
    return log.changesAfter(revision);
  }

  /** A session, if it is there. */
  public Optional<BackendSession> session(String id) {
    return Optional.ofNullable(held.get(id)).map(known -> known.session);
  }

  /** All sessions. */
  public List<BackendSession> sessions() {
    return held.values().stream().map(known -> known.session).toList();
  }

  /** A session as another agent takes it, if it is there. */
  public Optional<SessionEntry> entry(long nowMicros, String id) {
    return Optional.ofNullable(held.get(id)).map(known -> known.toEntry(nowMicros));
  }

  /** All sessions as another agent takes them. */
  public List<SessionEntry> entries(long nowMicros) {
    return held.values().stream().map(known -> known.toEntry(nowMicros)).toList();
  }

  /** Ids of backends that have said that they are gone, or whose address has another one. */
  public List<String> departed() {
    return ended.finalIds();
  }

  /** Whether a backend has said that it is gone, or its address has another one. */
  public boolean isDeparted(String id) {
    return ended.isFinal(id);
  }

  private boolean add(BackendSession session, long registeredAt, long heardAt) {
    String rivalId = idByAddress.get(session.address());
    if (rivalId != null) {
      if (held.get(rivalId).registeredAtMicros > registeredAt) {
        ended.addFinal(session.id(), heardAt);
        return false;
      }
      ended.addFinal(rivalId, heardAt);
      drop(rivalId);
    }
    held.put(session.id(), new Held(session, registeredAt, heardAt));
    idByAddress.put(session.address(), session.id());
    log.changed(session.id());
    return true;
  }

  /** Puts a newer call in place; whether data planes see a difference. */
  private boolean renew(Held known, BackendSession session, long heardAt) {
    BackendSession before = known.session;
    if (!before.address().equals(session.address())) {
      long registeredAt = known.registeredAtMicros;
      drop(before.id());
      return add(session, registeredAt, heardAt);
    }
    known.session = session;
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
    Held dropped = held.remove(id);
    idByAddress.remove(dropped.session.address(), id);
    log.gone(id);
  }

  /** A session and when it was heard. */
  private static final class Held {
    private BackendSession session;
    private long registeredAtMicros;
    private long heardAtMicros;

    private Held(BackendSession session, long registeredAtMicros, long heardAtMicros) {
      this.session = session;
      this.registeredAtMicros = registeredAtMicros;
      this.heardAtMicros = heardAtMicros;
    }

    private SessionEntry toEntry(long nowMicros) {
      return new SessionEntry(
          session,
          (nowMicros - registeredAtMicros) / MICROS_PER_MILLI,
          (nowMicros - heardAtMicros) / MICROS_PER_MILLI);
    }
  }
}
