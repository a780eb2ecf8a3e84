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
 * Keeps the session tables of the other control agents consistent with the table of this agent.
 * Changes are sent at once and renewals in batches. A peer that was disconnected receives what it
 * has missed. The methods return the messages that the caller has to send; times are in
 * microseconds of the host's steady clock.
 */
public final class SessionReplication {
  private static final long ACKNOWLEDGED = Long.MIN_VALUE;

  private final SessionTable table;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Set<String> renewedIds = new LinkedHashSet<>();

  /** Creates a replication of the table that has no peers yet. */
  public SessionReplication(SessionTable table) {
    this.table = table;
  }

  /** A message and the address of the peer that receives it. */
  public record OutboundMessage(String peer, ControlPeerMessage message) {}

  /**
   * Records that the connection to a peer is up. Returns the messages that bring the peer up to
   * date.
   *
   * @param incarnation incarnation of the peer's process; a process with another incarnation than
   *     before has lost its table
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

  /**
   * Records that the connection to a peer is lost. Messages that the peer has not acknowledged may
   * be lost, so their sessions are sent again after the next connect.
   */
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

  /** Records that the peer has received everything that was sent before this time. */
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

  /** Removes all state of a peer that no longer exists. */
  public void remove(String address) {
    peers.remove(address);
  }

  /** Returns the addresses of the connected peers. */
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
   * Replicates sessions that heartbeats of their backends have changed at this agent.
   *
   * @param number number that each receiving peer acknowledges; 0 if no acknowledgement is awaited
   * @param ids ids of the sessions that changed or ended
   */
  public List<OutboundMessage> replicateChanges(long nowMicros, long number, List<String> ids) {
    ids.forEach(renewedIds::remove);
    ControlPeerMessage message = changes(nowMicros, number, ids);
    return sendToAllPeers(nowMicros, ids, message);
  }

  /** Records that a session was renewed at this agent. The renewal is sent with the next batch. */
  public void recordRenewal(String id) {
    renewedIds.add(id);
  }

  /** Returns the messages with the renewals since the last batch; empty if there are none. */
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

    /**
     * The time when the update of each id was last sent, oldest first, until the peer acknowledges
     * the update.
     */
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
