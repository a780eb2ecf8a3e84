package slateslip.dataplane.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import slateslip.loadbalancer.net.InspectableSocketChannel;

/**
 * A socket to a backend or a control agent that can be read when its owner wants to, and that
 * counts the bytes that it has taken.
 */
public class PollableSocketChannel extends InspectableSocketChannel {
  private static final int END = -1;

  private long writtenBytes;
  private long unwrittenBytes;

  /** Bytes that the socket has taken: they may have reached the peer. */
  public final long writtenBytes() {
    return writtenBytes;
  }

  /** Bytes that were flushed and that the socket had not taken when it was last written to. */
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

  /** Writes what was flushed, as far as the socket takes it. */
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
   * Reads once what has arrived since the loop last looked, and passes it on as any other bytes. On
   * the event loop.
   *
   * @param buffer bytes are read into it; no more than it holds
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
