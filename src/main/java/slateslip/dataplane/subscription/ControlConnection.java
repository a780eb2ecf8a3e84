package slateslip.dataplane.subscription;

import java.nio.ByteBuffer;
import slateslip.dataplane.transport.PendingRead;
import slateslip.dataplane.transport.PollableSocketChannel;

/**
 * The connection to one control agent. While little comes on it, it is read once a tick, together
 * with those to the other agents, so that heartbeats do not wake the event loop. While much comes,
 * as with a whole configuration, it is read as it comes. On the event loop.
 */
final class ControlConnection {
  /** Bytes in one tick above which the connection is read as they come. */
  private static final int QUIET_BYTES = 2_048;

  private static final int BUFFER_BYTES = 8_192;

  final PollableSocketChannel channel;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private long bytesInTick;

  ControlConnection(PollableSocketChannel channel) {
    this.channel = channel;
  }

  /** Bytes of a message have come. */
  void received(int bytes) {
    bytesInTick += bytes;
  }

  /**
   * Reads what has come since the last tick, and decides how the connection is read until the next.
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
    boolean quiet = bytesInTick <= QUIET_BYTES && read != PendingRead.MORE_BYTES;
    bytesInTick = 0;
    if (channel.isActive()) {
      channel.config().setAutoRead(!quiet || !mayWait);
    }
  }
}
