package slateslip.distribution.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which control agents this one hears, and which hear it, by their beats. The number of a beat is
 * the steady time at which it was sent, counted from a base that is drawn at random for each life
 * of the process, so that an echoed number tells how old the echo is, and the echo of an earlier
 * life's beat is known as such. Times are in microseconds.
 */
public final class Reachability {
  /** A peer that was not heard, or has not heard, for this long is out of reach. */
  public static final long SILENCE_MICROS = 700_000;

  /** A peer that is not named by anyone and was not heard for this long is forgotten. */
  private static final long FORGET_MICROS = 20_000_000;

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

  /** Number of a beat that is sent now. */
  public long numberOf(long nowMicros) {
    return numberBase + nowMicros;
  }

  /** When the newest beat was sent that the peer is known to have; 0 if none is. */
  public long echoedMicros(String peer) {
    PeerContact contact = contacts.get(peer);
    return contact == null ? 0 : contact.echoedMicros;
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

  /** Takes note of a beat. */
  public void heard(long nowMicros, String peer, ControlPeerMessage.Heartbeat beat) {
    PeerContact contact = contacts.computeIfAbsent(peer, key -> new PeerContact(nowMicros));
    contact.heardAtMicros = nowMicros;
    contact.everHeard = true;
    contact.newestBeat = beat.number();
    contact.echoedMicros = Math.max(contact.echoedMicros, sentAt(nowMicros, beat.echoed()));
  }

  /** When the beat of this number was sent; 0 if an earlier life of this process sent it. */
  private long sentAt(long nowMicros, long number) {
    long micros = number - numberBase;
    return micros > 0 && micros <= nowMicros ? micros : 0;
  }

  /** What the next beat to a peer echoes. */
  public long newestBeat(String peer) {
    PeerContact contact = contacts.get(peer);
    return contact == null ? 0 : contact.newestBeat;
  }

  /** A peer's process has started anew: what was echoed before says nothing. */
  public void restarted(String peer) {
    PeerContact contact = contacts.get(peer);
    if (contact != null) {
      contact.newestBeat = 0;
    }
  }

  /** Whether the peer was heard lately. */
  public boolean isHeard(long nowMicros, String peer) {
    PeerContact contact = contacts.get(peer);
    return contact != null
        && contact.everHeard
        && nowMicros - contact.heardAtMicros < SILENCE_MICROS;
  }

  /** Whether the peer was heard lately and has lately heard this agent. */
  public boolean isReached(long nowMicros, String peer) {
    PeerContact contact = contacts.get(peer);
    return isHeard(nowMicros, peer)
        && contact.echoedMicros > 0
        && nowMicros - contact.echoedMicros < SILENCE_MICROS;
  }

  /** Agents in reach, without this one. */
  public List<String> reached(long nowMicros) {
    return contacts.keySet().stream().filter(peer -> isReached(nowMicros, peer)).toList();
  }

  /** All agents that are known, without this one. */
  public List<String> known() {
    return List.copyOf(contacts.keySet());
  }

  /** Whether more than half of these agents are in reach, this one counted if it is among them. */
  public boolean reachesMajority(long nowMicros, Collection<String> electorate) {
    long reached =
        electorate.stream()
            .filter(address -> address.equals(self) || isReached(nowMicros, address))
            .count();
    return 2 * reached > electorate.size();
  }

  /** Forgets agents that are not among the kept ones and were not heard for long; returns them. */
  public List<String> forget(long nowMicros, Collection<String> kept) {
    List<String> forgotten = new ArrayList<>();
    for (Map.Entry<String, PeerContact> entry : contacts.entrySet()) {
      boolean silent = nowMicros - entry.getValue().heardAtMicros > FORGET_MICROS;
      if (silent && !kept.contains(entry.getKey())) {
        forgotten.add(entry.getKey());
      }
    }
    forgotten.forEach(contacts::remove);
    return forgotten;
  }

  private static final class PeerContact {
    private long heardAtMicros;
    private boolean everHeard;
    private long newestBeat;
    private long echoedMicros;

    private PeerContact(long learnedAtMicros) {
      heardAtMicros = learnedAtMicros;
    }
  }
}
