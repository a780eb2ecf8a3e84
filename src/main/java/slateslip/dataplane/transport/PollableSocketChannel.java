package slateslip.dataplane.transport;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.ByteBuffer;
import slateslip.loadbalancer.net.InspectableSocketChannel;

/** A socket to a backend or a control agent that can be read when its owner wants to. */
public final class PollableSocketChannel extends InspectableSocketChannel {
  private static final int END = -1;

  /**
   * Reads once what has arrived since the loop last looked, and passes it on as any other bytes. On
   * the event loop.
   *
   * @param buffer bytes are read into it; no more than it holds
   */
  public PendingRead readPending(ByteBuffer buffer) {
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
