package slateslip.controlplane.agent;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import slateslip.distribution.exchange.ControlPeerMessage;
import slateslip.distribution.exchange.Reachability;
import slateslip.protocol.Decoded;
import slateslip.protocol.exchange.ControlPeerCodec;

/**
 * The links to all other control agents, and which of them are in reach. Confined to the event
 * loop.
 */
final class PeerLinks {
  private final Scheduler scheduler;
  private final ControlPeerCodec codec = new ControlPeerCodec();
  private final ControlPeerMessage.Hello self;
  private final PeerConnector connector;
  private final Reachability reachability;
  private final Map<String, Long> upSince = new TreeMap<>();
  private final Map<String, PeerConnector.PeerConnection> links = new TreeMap<>();
  private final Listener listener;

  /** Is told which links are up. */
  interface Listener {
    void linkUp(String peer, long incarnation);

    void linkDown(String peer);

    void forgotten(String peer);
  }

  /** No links yet. */
  PeerLinks(
      Scheduler scheduler,
      ControlPeerMessage.Hello self,
      PeerConnector connector,
      Listener listener) {
    this.scheduler = scheduler;
    this.self = self;
    this.connector = connector;
    this.listener = listener;
    reachability = new Reachability(self.address(), self.incarnation());
  }

  Reachability reachability() {
    return reachability;
  }

  /** Dials agents that were not known. */
  void learn(Collection<String> addresses) {
    for (String address : reachability.learn(scheduler.nowMicros(), addresses)) {
      links.put(address, connector.connect(address, codec.encode(self), new LinkListener(address)));
    }
  }

  /** A beat has come. */
  void heard(String peer, ControlPeerMessage.Heartbeat beat) {
    learn(List.of(peer));
    reachability.heartbeatReceived(scheduler.nowMicros(), peer, beat);
    learn(beat.knownAgents());
  }

  /** Sends beats, breaks off links that lead nowhere, and forgets agents that are long gone. */
  void beat(boolean complete, Collection<String> keptAgents) {
    long now = scheduler.nowMicros();
    for (String forgotten : reachability.removeExpired(now, keptAgents)) {
      links.remove(forgotten).close();
      listener.forgotten(forgotten);
    }
    List<String> known = reachability.knownPeers();
    long number = reachability.heartbeatNumber(now);
    links.forEach(
        (peer, link) -> {
          long echoed = reachability.lastHeartbeatNumber(peer);
          send(peer, new ControlPeerMessage.Heartbeat(number, echoed, complete, known));
          resetIfSilent(now, peer, link);
        });
  }

  private void resetIfSilent(long now, String peer, PeerConnector.PeerConnection link) {
    Long since = upSince.get(peer);
    boolean settled = since != null && now - since > 2 * Reachability.PEER_TIMEOUT_MICROS;
    if (settled && !reachability.isReachable(now, peer)) {
      link.reset();
    }
  }

  /** Sends a message; it may be lost. */
  void send(String peer, ControlPeerMessage message) {
    send(peer, codec.encode(message));
  }

  /** Sends an encoded message; it may be lost. */
  void send(String peer, byte[] message) {
    PeerConnector.PeerConnection link = links.get(peer);
    if (link != null) {
      link.send(message);
    }
  }

  /** Whether the link is up and the peer in reach. */
  boolean isUsable(String peer) {
    return upSince.containsKey(peer) && reachability.isReachable(scheduler.nowMicros(), peer);
  }

  void close() {
    links.values().forEach(PeerConnector.PeerConnection::close);
  }

  private final class LinkListener implements PeerConnector.Listener {
    private final String peer;

    private LinkListener(String peer) {
      this.peer = peer;
    }

    @Override
    public void up(byte[] peerGreeting) {
      if (codec.decode(peerGreeting) instanceof Decoded.Message<ControlPeerMessage> message
          && message.value() instanceof ControlPeerMessage.Hello greeting) {
        upSince.put(peer, scheduler.nowMicros());
        listener.linkUp(peer, greeting.incarnation());
      } else {
        links.get(peer).reset();
      }
    }

    @Override
    public void down() {
      if (upSince.remove(peer) != null) {
        listener.linkDown(peer);
      }
    }
  }
}
