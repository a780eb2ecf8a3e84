package slateslip.controlplane.agent;

/** A connection that came in: a stream of a data plane, or a peer's. */
public interface DataPlaneStream {
  /** Whether it takes more now; if not, {@link IncomingConnection#writable} follows. */
  boolean isWritable();

  /** Queues an encoded message. */
  void write(byte[] message);

  /** Sends what was queued. */
  void flush();

  /** Closes the connection. */
  void close();
}
