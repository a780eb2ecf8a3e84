package slateslip.controlplane.agent;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import slateslip.distribution.TransferPosition;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.Reachability;
import slateslip.protocol.Decoded;
import slateslip.protocol.peer.ControlPeerCodec;

/**
 * Manages the outgoing connections to all other control agents and tracks which agents are in
 * reach. Confined to the event loop.
 */
final class PeerLinks {
  private final Scheduler scheduler;
  private final ControlPeerCodec codec = new ControlPeerCodec();
  private final ControlPeerMessage.Hello self;
  private final PeerConnector connector;
  private final Reachability reachability;
  private final Map<String, Long> connectedSinceMicros = new TreeMap<>();
  private final Map<String, PeerConnector.PeerConnection> links = new TreeMap<>();
  private final Map<String, PeerTransferQueue> transfers = new TreeMap<>();
  private final SharedCompression compression = new SharedCompression();
  private final Listener listener;

  /** Receives notifications about connections to peers. */
  interface Listener {
    /** Called when the peer has sent its hello message with its incarnation. */
    void peerConnected(String peer, long incarnation);

    /** Called when an established connection to the peer is broken. */
    void peerDisconnected(String peer);

    /**
     * Called when the peer has acknowledged bytes of a long message, and when its transfer ended.
     */
    void transferProgressed(String peer);

    /** Called when the peer is removed after a long silence. */
    void peerRemoved(String peer);
  }

  /** Creates an instance without connections. */
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

  /** Connects to those of the given IPv4 addresses that are not known yet. */
  void connectTo(Collection<String> addresses) {
    for (String address : reachability.addPeers(scheduler.nowMicros(), addresses)) {
      transfers.put(address, newTransfers(address));
      links.put(address, connector.connect(address, codec.encode(self), new LinkListener(address)));
    }
  }

  private PeerTransferQueue newTransfers(String peer) {
    return new PeerTransferQueue(
        scheduler,
        compression,
        segment -> send(peer, segment),
        message -> send(peer, message),
        () -> listener.transferProgressed(peer));
  }

  /**
   * Records a heartbeat of a peer and connects to the agents that the heartbeat lists and that are
   * not known yet.
   */
  void heartbeatReceived(String peer, ControlPeerMessage.Heartbeat heartbeat) {
    connectTo(List.of(peer));
    reachability.heartbeatReceived(scheduler.nowMicros(), peer, heartbeat);
    connectTo(heartbeat.knownAgents());
  }

  /**
   * Sends a heartbeat to every known peer, resets connections that are established although the
   * peer is out of reach, and removes peers that have been silent for long.
   *
   * @param complete whether the session table of this agent contains all live backends
   * @param retainedAgents IPv4 addresses of the agents that are never removed
   */
  void sendHeartbeats(boolean complete, Collection<String> retainedAgents) {
    long now = scheduler.nowMicros();
    for (String removed : reachability.removeExpired(now, retainedAgents)) {
      links.remove(removed).close();
      transfers.remove(removed);
      listener.peerRemoved(removed);
    }
    List<String> knownAgents = reachability.knownPeers();
    long number = reachability.heartbeatNumber(now);
    compression.clear();
    links.forEach(
        (peer, link) -> {
          long acknowledgedNumber = reachability.lastHeartbeatNumber(peer);
          send(
              peer,
              new ControlPeerMessage.Heartbeat(number, acknowledgedNumber, complete, knownAgents));
          resetIfUnreachable(now, peer, link);
          transfers.get(peer).retransmitIfDue();
        });
  }

  private void resetIfUnreachable(long now, String peer, PeerConnector.PeerConnection link) {
    Long since = connectedSinceMicros.get(peer);
    boolean establishedLongEnough =
        since != null && now - since > 2 * Reachability.PEER_TIMEOUT_MICROS;
    if (establishedLongEnough && !reachability.isReachable(now, peer)) {
      link.reset();
    }
  }

  /** Sends a message to a peer; the message may be lost. */
  void send(String peer, ControlPeerMessage message) {
    send(peer, codec.encode(message));
  }

  /** Sends an encoded message to a peer; the message may be lost. */
  void send(String peer, byte[] message) {
    PeerConnector.PeerConnection link = links.get(peer);
    if (link != null) {
      link.send(message);
    }
  }

  /**
   * Sends an encoded message that may be long. Short messages that are sent later may arrive
   * before; messages that are sent by this method arrive in order. The message may be lost.
   *
   * @return whether the message is in transfer or waits for one; its delivery is then reported as
   *     progress
   */
  boolean transfer(String peer, byte[] message, PeerTransferQueue.Order order) {
    PeerTransferQueue queue = transfers.get(peer);
    if (queue == null || !queue.isUsable()) {
      send(peer, message);
      return false;
    }
    queue.send(message, order);
    return queue.holdsReplaceable();
  }

  /** Sends a message that may be long, after those that were sent by the other method. */
  void transfer(String peer, ControlPeerMessage message) {
    transfer(peer, codec.encode(message), PeerTransferQueue.Order.INDEPENDENT);
  }

  /** Returns whether a message to the peer is in transfer. */
  boolean isInTransfer(String peer) {
    PeerTransferQueue queue = transfers.get(peer);
    return queue != null && queue.holdsReplaceable();
  }

  /** Records what a peer has received of a long message. */
  void segmentAcknowledged(String peer, TransferPosition position) {
    PeerTransferQueue queue = transfers.get(peer);
    if (queue != null) {
      queue.acknowledged(position);
    }
  }

  /** Returns whether the connection to the peer is established and the peer is in reach. */
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
        queue().ifPresent(queue -> queue.connected(hello.acceptsSegments()));
        listener.peerConnected(peer, hello.incarnation());
      } else {
        links.get(peer).reset();
      }
    }

    @Override
    public void disconnected() {
      if (connectedSinceMicros.remove(peer) != null) {
        queue().ifPresent(PeerTransferQueue::disconnected);
        listener.peerDisconnected(peer);
      }
    }

    private Optional<PeerTransferQueue> queue() {
      return Optional.ofNullable(transfers.get(peer));
    }
  }
}
