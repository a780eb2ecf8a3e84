package slateslip.controlplane.agent;

/**
 * The sending side of an incoming connection, which is a stream of a data plane or a connection of
 * a peer.
 */
public interface DataPlaneStream {
  /**
   * Returns whether the connection accepts more data now; if not, {@link
   * IncomingConnection#writable} is called as soon as the connection accepts data again.
   */
  boolean isWritable();

  /** Queues an encoded message until {@link #flush}. */
  void write(byte[] message);

  /** Sends all queued messages. */
  void flush();

  /** Closes the connection; queued messages may be lost. */
  void close();
}
