package slateslip.controlplane.agent;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.Reachability;
import slateslip.protocol.Decoded;
import slateslip.protocol.peer.ControlPeerCodec;

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
  private final Map<String, Long> connectedSinceMicros = new TreeMap<>();
  private final Map<String, PeerConnector.PeerConnection> links = new TreeMap<>();
  private final Listener listener;

  /** Is notified when a link comes up or goes down. */
  interface Listener {
    void peerConnected(String peer, long incarnation);

    void peerDisconnected(String peer);

    void peerRemoved(String peer);
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
  void connectTo(Collection<String> addresses) {
    for (String address : reachability.learn(scheduler.nowMicros(), addresses)) {
      links.put(address, connector.connect(address, codec.encode(self), new LinkListener(address)));
    }
  }

  /** A heartbeat has arrived. */
  void heartbeatReceived(String peer, ControlPeerMessage.Heartbeat heartbeat) {
    connectTo(List.of(peer));
    reachability.heartbeatReceived(scheduler.nowMicros(), peer, heartbeat);
    connectTo(heartbeat.knownAgents());
  }

  /**
   * Sends heartbeats, breaks off links that lead nowhere, and forgets agents that are long gone.
   */
  void sendHeartbeats(boolean complete, Collection<String> retainedAgents) {
    long now = scheduler.nowMicros();
    for (String peerRemoved : reachability.removeExpired(now, retainedAgents)) {
      links.remove(peerRemoved).close();
      listener.peerRemoved(peerRemoved);
    }
    List<String> knownAgents = reachability.knownPeers();
    long number = reachability.heartbeatNumber(now);
    links.forEach(
        (peer, link) -> {
          long acknowledgedNumber = reachability.lastHeartbeatNumber(peer);
          send(
              peer,
              new ControlPeerMessage.Heartbeat(number, acknowledgedNumber, complete, knownAgents));
          resetIfUnreachable(now, peer, link);
        });
  }

  private void resetIfUnreachable(long now, String peer, PeerConnector.PeerConnection link) {
    Long since = connectedSinceMicros.get(peer);
    boolean wasUpLongEnough = since != null && now - since > 2 * Reachability.PEER_TIMEOUT_MICROS;
    if (wasUpLongEnough && !reachability.isReachable(now, peer)) {
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
    return connectedSinceMicros.containsKey(peer)
        && reachability.isReachable(scheduler.nowMicros(), peer);
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
    public void connected(byte[] encodedPeerHello) {
      if (codec.decode(encodedPeerHello) instanceof Decoded.Message<ControlPeerMessage> message
          && message.value() instanceof ControlPeerMessage.Hello hello) {
        connectedSinceMicros.put(peer, scheduler.nowMicros());
        listener.peerConnected(peer, hello.incarnation());
      } else {
        links.get(peer).reset();
      }
    }

    @Override
    public void disconnected() {
      if (connectedSinceMicros.remove(peer) != null) {
        listener.peerDisconnected(peer);
      }
    }
  }
}
