package slateslip.controlplane;

import io.netty.channel.Channel;
import slateslip.controlplane.agent.DataPlaneStream;
import slateslip.protocol.Framing;

/**
 * Sends messages of a {@link DataPlaneStream} on a TCP connection.
 *
 * @param channel the connection, whose pipeline splits incoming bytes into messages
 */
record NettyDataPlaneStream(Channel channel) implements DataPlaneStream {
  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  @Override
  public void write(byte[] message) {
    channel.write(Framing.frame(channel.alloc(), message), channel.voidPromise());
  }

  @Override
  public void flush() {
    channel.flush();
  }

  @Override
  public void close() {
    channel.close();
  }

  @Override
  public String toString() {
    return String.valueOf(channel.remoteAddress());
  }
}
