package slateslip.controlplane.agent;

/** Opens connections to other control agents. */
public interface PeerConnector {
  /**
   * Begins to connect, and connects anew whenever the connection breaks, until it is closed.
   *
   * @param address IPv4 address of the peer
   * @param encodedHello first message on each connection, encoded
   * @param listener notified, on the event loop, of what becomes of the connection
   */
  PeerConnection connect(String address, byte[] encodedHello, Listener listener);

  /** The connection on which this agent sends to one peer. */
  interface PeerConnection {
    /** Sends an encoded message if the connection is up; else the message is lost. */
    void send(byte[] message);

    /** Breaks the connection off, to connect anew. */
    void reset();

    /** Breaks the connection off for good. */
    void close();
  }

  /** Is notified of the changes of a connection. */
  interface Listener {
    /** The peer has answered with its greeting, encoded. */
    void connected(byte[] encodedPeerHello);

    /** The connection was up and has broken. */
    void disconnected();
  }
}
