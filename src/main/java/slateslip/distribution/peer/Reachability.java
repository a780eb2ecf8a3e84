package slateslip.distribution.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks from heartbeats which control agents this agent receives and which agents receive this
 * agent. The number of a heartbeat is the steady time at which the heartbeat was sent, counted from
 * a base that is drawn at random for each incarnation of the process. An acknowledged number
 * therefore shows how old the acknowledged heartbeat is, and an acknowledgement of a heartbeat of
 * an earlier incarnation is recognized as such. Times are in microseconds.
 */
public final class Reachability {
  /**
   * A peer is unreachable if no heartbeat from the peer has arrived for this long, or if the newest
   * heartbeat that the peer has acknowledged is at least this old.
   */
  public static final long PEER_TIMEOUT_MICROS = 700_000;

  /** How long a peer without heartbeats is remembered unless the caller retains the peer. */
  private static final long RETENTION_MICROS = 20_000_000;

  private final String self;
  private final long numberBase;
  private final Map<String, PeerContact> contacts = new TreeMap<>();

  /**
   * Creates a tracker that knows no peers.
   *
   * @param self IPv4 address of this agent
   * @param incarnation incarnation of this agent's process, drawn at random
   */
  public Reachability(String self, long incarnation) {
    this.self = self;
    numberBase = incarnation >>> 2; // leaves headroom so that adding a time cannot overflow
  }

  /** Returns the number of a heartbeat that is sent now. */
  public long heartbeatNumber(long nowMicros) {
    return numberBase + nowMicros;
  }

  /**
   * Returns the time when this agent sent the newest heartbeat that the peer has acknowledged; 0 if
   * the peer has acknowledged none.
   */
  public long acknowledgedMicros(String peer) {
    PeerContact contact = contacts.get(peer);
    return contact == null ? 0 : contact.acknowledgedMicros;
  }

  /**
   * Adds agents to the known peers. Returns the addresses that are new and are not this agent's
   * own.
   */
  public List<String> addPeers(long nowMicros, Collection<String> addresses) {
    List<String> added = new ArrayList<>();
    for (String address : addresses) {
      if (!address.equals(self) && !contacts.containsKey(address)) {
        contacts.put(address, new PeerContact(nowMicros));
        added.add(address);
      }
    }
    return added;
  }

  /** Processes a heartbeat from a peer. A peer that is not known is added. */
  public void heartbeatReceived(
      long nowMicros, String peer, ControlPeerMessage.Heartbeat heartbeat) {
    PeerContact contact = contacts.computeIfAbsent(peer, key -> new PeerContact(nowMicros));
    contact.lastHeartbeatMicros = nowMicros;
    contact.anyHeartbeatReceived = true;
    contact.lastHeartbeatNumber = heartbeat.number();
    contact.acknowledgedMicros =
        Math.max(contact.acknowledgedMicros, sentMicros(nowMicros, heartbeat.acknowledgedNumber()));
  }

  /**
   * Returns the time when this process sent the heartbeat with this number; 0 if an earlier
   * incarnation of the process sent the heartbeat.
   */
  private long sentMicros(long nowMicros, long number) {
    long micros = number - numberBase;
    return micros > 0 && micros <= nowMicros ? micros : 0;
  }

  /**
   * Returns the number of the newest heartbeat from the peer, which the next heartbeat to the peer
   * acknowledges; 0 if there is none.
   */
  public long lastHeartbeatNumber(String peer) {
    PeerContact contact = contacts.get(peer);
    return contact == null ? 0 : contact.lastHeartbeatNumber;
  }

  /**
   * Records that a peer's process has restarted. Numbers of the earlier process are no longer
   * acknowledged.
   */
  public void peerRestarted(String peer) {
    PeerContact contact = contacts.get(peer);
    if (contact != null) {
      contact.lastHeartbeatNumber = 0;
    }
  }

  /** Returns whether a heartbeat from the peer has arrived recently. */
  public boolean hasRecentHeartbeat(long nowMicros, String peer) {
    PeerContact contact = contacts.get(peer);
    return contact != null
        && contact.anyHeartbeatReceived
        && nowMicros - contact.lastHeartbeatMicros < PEER_TIMEOUT_MICROS;
  }

  /**
   * Returns whether a heartbeat from the peer has arrived recently and the peer has acknowledged a
   * recent heartbeat of this agent.
   */
  public boolean isReachable(long nowMicros, String peer) {
    PeerContact contact = contacts.get(peer);
    return hasRecentHeartbeat(nowMicros, peer)
        && contact.acknowledgedMicros > 0
        && nowMicros - contact.acknowledgedMicros < PEER_TIMEOUT_MICROS;
  }

  /** Returns the reachable agents, without this agent. */
  public List<String> reachablePeers(long nowMicros) {
    return contacts.keySet().stream().filter(peer -> isReachable(nowMicros, peer)).toList();
  }

  /** Returns all known agents, without this agent. */
  public List<String> knownPeers() {
    return List.copyOf(contacts.keySet());
  }

  /**
   * Returns whether more than half of these agents are reachable. This agent counts as reachable if
   * the collection contains it.
   */
  public boolean reachesMajority(long nowMicros, Collection<String> witnesses) {
    long reachable =
        witnesses.stream()
            .filter(address -> address.equals(self) || isReachable(nowMicros, address))
            .count();
    return 2 * reachable > witnesses.size();
  }

  /**
   * Removes agents that are not in the retained collection and have sent no heartbeat for a long
   * time. Returns the removed agents.
   */
  public List<String> removeExpired(long nowMicros, Collection<String> retained) {
    List<String> removed = new ArrayList<>();
    for (Map.Entry<String, PeerContact> entry : contacts.entrySet()) {
      boolean expired = nowMicros - entry.getValue().lastHeartbeatMicros > RETENTION_MICROS;
      if (expired && !retained.contains(entry.getKey())) {
        removed.add(entry.getKey());
      }
    }
    removed.forEach(contacts::remove);
    return removed;
  }

  private static final class PeerContact {
    private long lastHeartbeatMicros;
    private boolean anyHeartbeatReceived;
    private long lastHeartbeatNumber;
    private long acknowledgedMicros;

    private PeerContact(long addedAtMicros) {
      lastHeartbeatMicros = addedAtMicros;
    }
  }
}
