package slateslip.distribution.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which control agents this one hears, and which hear it, by their heartbeats. The number of a
 * heartbeat is the steady time at which it was sent, counted from a base that is drawn at random
 * for each incarnation of the process, so that an echoed number tells how old the echo is, and the
 * echo of an earlier incarnation's heartbeat is known as such. Times are in microseconds.
 */
public final class Reachability {
  /** A peer that was not heard, or has not heard, for this long is out of reach. */
  public static final long PEER_TIMEOUT_MICROS = 700_000;

  /** A peer that is not named by anyone and was not heard for this long is forgotten. */
  private static final long RETENTION_MICROS = 20_000_000;

  private final String self;
  private final long numberBase;
  private final Map<String, PeerContact> contacts = new TreeMap<>();

  /**
   * Knows nobody yet.
   *
   * @param self IPv4 address of this agent
   * @param incarnation of its process, drawn at random
   */
  public Reachability(String self, long incarnation) {
    this.self = self;
    numberBase = incarnation >>> 2; // leaves room above for times
  }

  /** Number of a heartbeat that is sent now. */
  public long heartbeatNumber(long nowMicros) {
    return numberBase + nowMicros;
  }

  /** When the newest heartbeat was sent that the peer is known to have; 0 if none is. */
  public long acknowledgedMicros(String peer) {
    PeerContact contact = contacts.get(peer);
    return contact == null ? 0 : contact.acknowledgedMicros;
  }

  /** Takes note of agents that are said to exist; the new ones among them. */
  public List<String> learn(long nowMicros, Collection<String> addresses) {
    List<String> added = new ArrayList<>();
    for (String address : addresses) {
      if (!address.equals(self) && !contacts.containsKey(address)) {
        contacts.put(address, new PeerContact(nowMicros));
        added.add(address);
      }
    }
    return added;
  }

  /** Takes note of a heartbeat. */
  public void heartbeatReceived(
      long nowMicros, String peer, ControlPeerMessage.Heartbeat heartbeat) {
    PeerContact contact = contacts.computeIfAbsent(peer, key -> new PeerContact(nowMicros));
    contact.lastHeardMicros = nowMicros;
    contact.everHeard = true;
    contact.lastHeartbeatNumber = heartbeat.number();
    contact.acknowledgedMicros =
        Math.max(contact.acknowledgedMicros, sentMicros(nowMicros, heartbeat.acknowledgedNumber()));
  }

  /** When the beat of this number was sent; 0 if an earlier incarnation of this process sent it. */
  private long sentMicros(long nowMicros, long number) {
    long micros = number - numberBase;
    return micros > 0 && micros <= nowMicros ? micros : 0;
  }

  /** What the next heartbeat to a peer echoes. */
  public long lastHeartbeatNumber(String peer) {
    PeerContact contact = contacts.get(peer);
    return contact == null ? 0 : contact.lastHeartbeatNumber;
  }

  /** A peer's process has started anew: what was echoed before says nothing. */
  public void peerRestarted(String peer) {
    PeerContact contact = contacts.get(peer);
    if (contact != null) {
      contact.lastHeartbeatNumber = 0;
    }
  }

  /** Whether the peer was heard lately. */
  public boolean isHeard(long nowMicros, String peer) {
    PeerContact contact = contacts.get(peer);
    return contact != null
        && contact.everHeard
        && nowMicros - contact.lastHeardMicros < PEER_TIMEOUT_MICROS;
  }

  /** Whether the peer was heard lately and has lately heard this agent. */
  public boolean isReachable(long nowMicros, String peer) {
    PeerContact contact = contacts.get(peer);
    return isHeard(nowMicros, peer)
        && contact.acknowledgedMicros > 0
        && nowMicros - contact.acknowledgedMicros < PEER_TIMEOUT_MICROS;
  }

  /** Agents in reach, without this one. */
  public List<String> reachablePeers(long nowMicros) {
    return contacts.keySet().stream().filter(peer -> isReachable(nowMicros, peer)).toList();
  }

  /** All agents that are known, without this one. */
  public List<String> knownPeers() {
    return List.copyOf(contacts.keySet());
  }

  /** Whether more than half of these agents are in reach, this one counted if it is among them. */
  public boolean reachesMajority(long nowMicros, Collection<String> witnesses) {
    long reachablePeers =
        witnesses.stream()
            .filter(address -> address.equals(self) || isReachable(nowMicros, address))
            .count();
    return 2 * reachablePeers > witnesses.size();
  }

  /** Forgets agents that are not among the kept ones and were not heard for long; returns them. */
  public List<String> removeExpired(long nowMicros, Collection<String> retained) {
    List<String> removed = new ArrayList<>();
    for (Map.Entry<String, PeerContact> entry : contacts.entrySet()) {
      boolean expired = nowMicros - entry.getValue().lastHeardMicros > RETENTION_MICROS;
      if (expired && !retained.contains(entry.getKey())) {
        removed.add(entry.getKey());
      }
    }
    removed.forEach(contacts::remove);
    return removed;
  }

  private static final class PeerContact {
    private long lastHeardMicros;
    private boolean everHeard;
    private long lastHeartbeatNumber;
    private long acknowledgedMicros;

    private PeerContact(long learnedAtMicros) {
      lastHeardMicros = learnedAtMicros;
    }
  }
}
