package slateslip.dataplane.ingress;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * A client's socket that can be read immediately before the socket is closed. Confined to the event
 * loop.
 */
final class ClientSocketChannel extends NioSocketChannel {
  private static final int READ_BUFFER_BYTES = 4_096;

  ClientSocketChannel(Channel parent, SocketChannel socket) {
    super(parent, socket);
  }

  /**
   * Reads the data that has arrived since the event loop last read the socket, and passes the data
   * to the pipeline. This prevents the close of a connection on which a request waits: the close
   * would reset the connection.
   *
   * @return whether any data was read
   */
  boolean readPending() {
    ByteBuffer bytes = ByteBuffer.allocate(READ_BUFFER_BYTES);
    try {
      if (!isActive() || javaChannel().read(bytes) <= 0) {
        return false;
      }
    } catch (IOException broken) {
      return false;
    }
    bytes.flip();
    pipeline().fireChannelRead(Unpooled.wrappedBuffer(bytes));
    pipeline().fireChannelReadComplete();
    return true;
  }
}
