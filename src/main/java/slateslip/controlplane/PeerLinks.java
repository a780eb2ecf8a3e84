package slateslip.controlplane;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import slateslip.distribution.exchange.ExchangeMessage;
import slateslip.distribution.exchange.Reachability;
import slateslip.protocol.Decoded;
import slateslip.protocol.exchange.ExchangeCodec;

/**
 * The links to all other control agents, and which of them are in reach. Confined to the event
 * loop.
 */
final class PeerLinks {
  private final EventLoop loop;
  private final SteadyClock clock;
  private final ExchangeCodec codec = new ExchangeCodec();
  private final ExchangeMessage.Greeting self;
  private final int port;
  private final Reachability reachability;
  private final Map<String, Long> upSince = new TreeMap<>();
  private final Map<String, PeerLink> links = new TreeMap<>();
  private final Listener listener;

  /** Is told which links are up. */
  interface Listener {
    void linkUp(String peer, long incarnation);

    void linkDown(String peer);

    void forgotten(String peer);
  }

  /**
   * No links yet.
   *
   * @param port of every agent
   */
  PeerLinks(
      EventLoop loop,
      SteadyClock clock,
      ExchangeMessage.Greeting self,
      int port,
      Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.self = self;
    this.port = port;
    this.listener = listener;
    reachability = new Reachability(self.address());
  }

  Reachability reachability() {
    return reachability;
  }

  /** Dials agents that were not known. */
  void learn(Collection<String> addresses) {
    for (String address : reachability.learn(clock.micros(), addresses)) {
      PeerLink link =
          new PeerLink(
              loop,
              new InetSocketAddress(address, port),
              codec.encode(self),
              new LinkListener(address));
      links.put(address, link);
      link.dial();
    }
  }

  /** A beat has come. */
  void heard(String peer, ExchangeMessage.Beat beat) {
    learn(List.of(peer));
    reachability.heard(clock.micros(), peer, beat);
    learn(beat.knownAgents());
  }

  /** Sends beats, breaks off links that lead nowhere, and forgets agents that are long gone. */
  void beat(boolean complete, Collection<String> keptAgents) {
    long now = clock.micros();
    for (String forgotten : reachability.forget(now, keptAgents)) {
      links.remove(forgotten).close();
      listener.forgotten(forgotten);
    }
    List<String> known = reachability.known();
    links.forEach(
        (peer, link) -> {
          long echoed = reachability.newestBeat(peer);
          send(peer, new ExchangeMessage.Beat(now, echoed, complete, known));
          resetIfSilent(now, peer, link);
        });
  }

  private void resetIfSilent(long now, String peer, PeerLink link) {
    Long since = upSince.get(peer);
    boolean settled = since != null && now - since > 2 * Reachability.SILENCE_MICROS;
    if (settled && !reachability.isReached(now, peer)) {
      link.reset();
    }
  }

  /** Sends a message; it may be lost. */
  void send(String peer, ExchangeMessage message) {
    send(peer, codec.encode(message));
  }

  /** Sends an encoded message; it may be lost. */
  void send(String peer, byte[] message) {
    PeerLink link = links.get(peer);
    if (link != null) {
      link.send(message);
    }
  }

  /** Whether the link is up and the peer in reach. */
  boolean isUsable(String peer) {
    return upSince.containsKey(peer) && reachability.isReached(clock.micros(), peer);
  }

  void close() {
    links.values().forEach(PeerLink::close);
  }

  private final class LinkListener implements PeerLink.Listener {
    private final String peer;

    private LinkListener(String peer) {
      this.peer = peer;
    }

    @Override
    public void up(byte[] peerGreeting) {
      if (codec.decode(peerGreeting) instanceof Decoded.Message<ExchangeMessage> message
          && message.value() instanceof ExchangeMessage.Greeting greeting) {
        upSince.put(peer, clock.micros());
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
