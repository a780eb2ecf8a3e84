package slateslip.dataplane.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import slateslip.loadbalancer.net.InspectableSocketChannel;

/**
 * A socket to a backend or a control agent that its owner can read at any time, and that counts the
 * bytes written to it.
 */
public class PollableSocketChannel extends InspectableSocketChannel {
  private static final int END = -1;

  private long writtenBytes;
  private long unwrittenBytes;

  /** Returns the number of bytes that the socket has accepted, which may have reached the peer. */
  public final long writtenBytes() {
    return writtenBytes;
  }

  /** Returns the number of flushed bytes that the socket had not accepted at the last write. */
  public final long unwrittenBytes() {
    return unwrittenBytes;
  }

  @Override
  protected final void doWrite(ChannelOutboundBuffer outbound) throws Exception {
    long before = flushedBytes(outbound);
    try {
      writeToSocket(outbound);
    } finally {
      unwrittenBytes = flushedBytes(outbound);
      writtenBytes += before - unwrittenBytes;
    }
  }

  /** Writes the flushed bytes that the socket accepts. */
  protected void writeToSocket(ChannelOutboundBuffer outbound) throws Exception {
    super.doWrite(outbound);
  }

  private static long flushedBytes(ChannelOutboundBuffer outbound) throws Exception {
    long[] bytes = new long[1];
    outbound.forEachFlushedMessage(
        message -> {
          bytes[0] += message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
          return true;
        });
    return bytes[0];
  }

  /**
   * Reads once the bytes that have arrived since the event loop last read the socket, and passes
   * them to the pipeline like any other bytes. Has to be called on the event loop.
   *
   * @param buffer buffer to read into; its capacity limits the number of bytes read
   */
  public final PendingRead readPending(ByteBuffer buffer) {
    int count = isActive() ? readInto(buffer) : END;
    if (count <= 0) {
      return count == END ? PendingRead.ENDED : PendingRead.NONE;
    }
    boolean full = !buffer.hasRemaining();
    buffer.flip();
    pipeline().fireChannelRead(Unpooled.buffer(count).writeBytes(buffer));
    pipeline().fireChannelReadComplete();
    return full ? PendingRead.MORE_BYTES : PendingRead.BYTES;
  }

  private int readInto(ByteBuffer buffer) {
    buffer.clear();
    try {
      return javaChannel().read(buffer);
    } catch (IOException broken) {
      return END;
    }
  }
}
