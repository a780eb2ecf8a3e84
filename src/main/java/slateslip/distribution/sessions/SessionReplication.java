package slateslip.distribution.sessions;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.SessionEntry;
import slateslip.distribution.peer.SessionRenewal;

/**
 * Keeps the tables of the other control agents like this one's: changes go out at once, renewals in
 * batches, and a peer that was away is handed what it has missed.
 */
public final class SessionReplication {
  private static final long ACKNOWLEDGED = Long.MIN_VALUE;

  private final SessionTable table;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Set<String> renewedIds = new LinkedHashSet<>();

  /** Replicates this table. */
  public SessionReplication(SessionTable table) {
    this.table = table;
  }

  /** A message for one peer. */
  public record OutboundMessage(String peer, ControlPeerMessage message) {}

  /**
   * A connection to a peer is up.
   *
   * @param incarnation of the peer's process; another one than before has lost its table
   */
  public List<OutboundMessage> connected(long nowMicros, String address, long incarnation) {
    Peer peer = peers.computeIfAbsent(address, key -> new Peer());
    if (peer.incarnation != incarnation) {
      peer.incarnation = incarnation;
      peer.hints.requireFullTable();
    }
    peer.connected = true;
    boolean needsFullTable = peer.hints.needsFullTable();
    List<String> hints = peer.hints.drain();
    if (needsFullTable) {
      peer.fullTableSentMicros = nowMicros;
      return List.of(new OutboundMessage(address, fullTable(nowMicros)));
    }
    if (hints.isEmpty()) {
      return List.of();
    }
    peer.sent(nowMicros, hints);
    return List.of(new OutboundMessage(address, changes(nowMicros, 0, hints)));
  }

  /** The connection to a peer is lost; what was sent last may not have come. */
  public void disconnected(String address) {
    Peer peer = peers.get(address);
    if (peer != null && peer.connected) {
      peer.connected = false;
      peer.unacknowledged.keySet().forEach(peer.hints::hint);
      peer.unacknowledged.clear();
      if (peer.fullTableSentMicros != ACKNOWLEDGED) {
        peer.hints.requireFullTable();
      }
    }
  }

  /** The peer has received all that was sent before this time. */
  public void acknowledged(String address, long sentBeforeMicros) {
    Peer peer = peers.get(address);
    if (peer == null) {
      return;
    }
    if (peer.fullTableSentMicros < sentBeforeMicros) {
      peer.fullTableSentMicros = ACKNOWLEDGED;
    }
    Iterator<Long> oldestFirst = peer.unacknowledged.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next() < sentBeforeMicros) {
      oldestFirst.remove();
    }
  }

  /** The peer exists no more. */
  public void remove(String address) {
    peers.remove(address);
  }

  /** Peers that are connected. */
  public Collection<String> connectedPeers() {
    List<String> connected = new ArrayList<>();
    peers.forEach(
        (address, peer) -> {
          if (peer.connected) {
            connected.add(address);
          }
        });
    return connected;
  }

  /**
   * Sessions have changed here, by calls of their backends.
   *
   * @param number to be acknowledged by each peer that gets it; 0 if nobody waits
   */
  public List<OutboundMessage> changed(long nowMicros, long number, List<String> ids) {
    ids.forEach(renewedIds::remove);
    ControlPeerMessage message = changes(nowMicros, number, ids);
    return sendToAllPeers(nowMicros, ids, message);
  }

  /** A session was renewed here; it goes out with the next batch. */
  public void recordRenewal(String id) {
    renewedIds.add(id);
  }

  /** The batch of renewals since the last one. */
  public List<OutboundMessage> flushRenewals(long nowMicros) {
    if (renewedIds.isEmpty()) {
      return List.of();
    }
    List<SessionRenewal> renewals = new ArrayList<>();
    for (String id : renewedIds) {
      table
          .entry(nowMicros, id)
          .ifPresent(entry -> renewals.add(new SessionRenewal(id, entry.heardAgeMillis())));
    }
    List<String> ids = List.copyOf(renewedIds);
    renewedIds.clear();
    return sendToAllPeers(nowMicros, ids, new ControlPeerMessage.SessionRenewals(renewals));
  }

  private List<OutboundMessage> sendToAllPeers(
      long nowMicros, List<String> ids, ControlPeerMessage message) {
    List<OutboundMessage> messages = new ArrayList<>();
    peers.forEach(
        (address, peer) -> {
          if (peer.connected) {
            peer.sent(nowMicros, ids);
            messages.add(new OutboundMessage(address, message));
          } else {
            ids.forEach(peer.hints::hint);
          }
        });
    return messages;
  }

  private ControlPeerMessage fullTable(long nowMicros) {
    return new ControlPeerMessage.SessionChanges(
        0, true, table.entries(nowMicros), table.deregisteredIds());
  }

  private ControlPeerMessage changes(long nowMicros, long number, List<String> ids) {
    List<SessionEntry> entries = new ArrayList<>();
    List<String> deregistered = new ArrayList<>();
    for (String id : ids) {
      table.entry(nowMicros, id).ifPresentOrElse(entries::add, () -> deregistered.add(id));
    }
    deregistered.removeIf(id -> !table.isDeregistered(id));
    return new ControlPeerMessage.SessionChanges(number, false, entries, deregistered);
  }

  private static final class Peer {
    private final HintedHandoff hints = new HintedHandoff();

    /** When each id was sent last, oldest first, until the peer is known to have it. */
    private final Map<String, Long> unacknowledged = new LinkedHashMap<>();

    private long fullTableSentMicros = ACKNOWLEDGED;
    private long incarnation;
    private boolean connected;

    private void sent(long nowMicros, List<String> ids) {
      for (String id : ids) {
        unacknowledged.remove(id);
        unacknowledged.put(id, nowMicros);
      }
    }
  }
}
