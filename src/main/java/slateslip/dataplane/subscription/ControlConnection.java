package slateslip.dataplane.subscription;

import java.nio.ByteBuffer;
import slateslip.dataplane.transport.PendingRead;
import slateslip.dataplane.transport.PollableSocketChannel;

/**
 * The connection to one control agent. While the agent sends little, the connection is read once
 * per tick together with the connections to the other agents, so that heartbeats do not wake the
 * event loop. While the agent sends much, for example a complete configuration, the event loop
 * reads the connection as soon as bytes arrive. Confined to the event loop.
 */
final class ControlConnection {
  /**
   * Maximum number of bytes received within one tick with which the connection is still read only
   * once per tick.
   */
  private static final int MAX_POLLED_BYTES_PER_TICK = 2_048;

  private static final int BUFFER_BYTES = 8_192;

  final PollableSocketChannel channel;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private long bytesInTick;

  ControlConnection(PollableSocketChannel channel) {
    this.channel = channel;
  }

  /** Counts the received bytes of a message. */
  void countReceived(int bytes) {
    bytesInTick += bytes;
  }

  /**
   * Reads the bytes that have arrived since the last tick, and decides how the connection is read
   * until the next tick. Closes the connection if the agent has ended it.
   *
   * @param mayWait whether messages may wait for the next tick
   */
  void tick(boolean mayWait) {
    if (!channel.isActive()) {
      return;
    }
    boolean polled = !channel.config().isAutoRead();
    PendingRead read = polled ? channel.readPending(buffer) : PendingRead.NONE;
    if (read == PendingRead.ENDED) {
      channel.close();
      return;
    }
    boolean quiet = bytesInTick <= MAX_POLLED_BYTES_PER_TICK && read != PendingRead.MORE_BYTES;
    bytesInTick = 0;
    if (channel.isActive()) {
      channel.config().setAutoRead(!quiet || !mayWait);
    }
  }
}
