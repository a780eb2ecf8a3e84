package slateslip.controlplane.agent;

/** Opens outgoing connections to other control agents. */
public interface PeerConnector {
  /**
   * Starts to connect to a peer and reconnects whenever the connection breaks, until {@link
   * PeerConnection#close} is called.
   *
   * @param address IPv4 address of the peer
   * @param encodedHello encoded hello message of this agent, sent first on each connection
   * @param listener notified on the event loop when the connection is established or broken
   */
  PeerConnection connect(String address, byte[] encodedHello, Listener listener);

  /** The connection on which this agent sends messages to one peer. */
  interface PeerConnection {
    /** Sends an encoded message if the connection is established; otherwise the message is lost. */
    void send(byte[] message);

    /** Closes the current connection and connects again. */
    void reset();

    /** Closes the connection permanently. */
    void close();
  }

  /** Receives notifications about the state of a connection. */
  interface Listener {
    /** Called when the peer has responded with its encoded hello message. */
    void connected(byte[] encodedPeerHello);

    /** Called when an established connection is broken. */
    void disconnected();
  }
}
