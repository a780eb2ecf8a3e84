package slateslip.loadbalancer.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket channel that can check for unread input without waiting for the event loop. */
public class InspectableSocketChannel extends NioSocketChannel {
  /** Creates a channel that is not connected. */
  public InspectableSocketChannel() {}

  /**
   * Returns whether the channel is open and has no unread input. Detects a close by the peer, or
   * bytes that would be taken for the next response, that have arrived since the event loop last
   * read the socket.
   */
  public boolean isIdle() {
    try {
      return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Returns whether a connection attempt failed because no socket could be opened, since the
   * process has no file descriptor left. The caller must check this itself: such a channel is not
   * registered with the event loop, so its listeners run on another thread and it never closes.
   */
  public static boolean failedToOpenSocket(ChannelFuture connecting) {
    return connecting.isDone() && !connecting.isSuccess() && !connecting.channel().isRegistered();
  }
}
