package slateslip.loadbalancer.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket that can be asked whether its peer has been unresponsive. */
public class InspectableSocketChannel extends NioSocketChannel {
  /** One that is not connected yet. */
  public InspectableSocketChannel() {}

  /**
   * Whether it is open with nothing unread. Guards against what has arrived since the loop last
   * looked: a close, or bytes that would be taken for the next answer.
   */
  public boolean isIdle() {
    try {
      return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Whether no socket could be opened to connect with, for the process has no descriptor left.
   * Guards against waiting for ever: there is no channel to close then, and listeners are called
   * elsewhere.
   */
  public static boolean noSocket(ChannelFuture connecting) {
    return connecting.isDone() && !connecting.isSuccess() && !connecting.channel().isRegistered();
  }
}
