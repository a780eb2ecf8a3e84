package slateslip.dataplane.ingress;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import org.jboss.logging.Logger;

/**
 * A listening socket whose accepted connections are {@link ClientSocketChannel}s. Confined to the
 * event loop.
 */
final class ClientServerSocketChannel extends NioServerSocketChannel {
  private static final Logger LOG = Logger.getLogger(ClientServerSocketChannel.class);

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    SocketChannel socket = javaChannel().accept();
    if (socket == null) {
      return 0;
    }
    accepted.add(new ClientSocketChannel(this, socket));
    return 1;
  }

  /**
   * Accepts the connections that have arrived since the event loop last accepted connections.
   * Closing the listening socket would reset these connections and lose the requests that their
   * clients have sent.
   *
   * @param maxCount maximum number of connections to accept
   */
  void acceptPending(int maxCount) {
    try {
      for (int accepted = 0; accepted < maxCount; accepted++) {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
          break;
        }
        pipeline().fireChannelRead(new ClientSocketChannel(this, socket));
      }
    } catch (IOException noDescriptorLeft) {
      LOG.warnf("could not accept all pending connections: %s", noDescriptorLeft.getMessage());
    }
    pipeline().fireChannelReadComplete();
  }
}
