package slateslip.dataplane.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * A connection on the loopback interface between a {@link PollableSocketChannel}, which has its own
 * event loop, and a peer socket.
 */
public final class LoopbackConnection implements Closeable {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ReceivedBytes received = new ReceivedBytes();
  private final PollableSocketChannel channel;
  private final Socket peer;

  /**
   * Connects the two ends. Received bytes are counted and discarded before they reach the handler.
   */
  public LoopbackConnection(ChannelHandler handler) throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      channel =
          (PollableSocketChannel)
              new Bootstrap()
                  .group(loop)
                  .channelFactory(PollableSocketChannel::new)
                  .handler(handler)
                  .connect(server.getLocalSocketAddress())
                  .syncUninterruptibly()
                  .channel();
      channel.pipeline().addFirst(received);
      peer = server.accept();
    }
  }

  /** Returns the event loop of the channel. */
  public EventLoop loop() {
    return loop;
  }

  /** Returns the channel under test. */
  public PollableSocketChannel channel() {
    return channel;
  }

  /** Returns the socket at the other end of the connection. */
  public Socket peer() {
    return peer;
  }

  /** Runs a task on the event loop and waits for its end. */
  public void run(Runnable task) {
    loop.submit(task).syncUninterruptibly();
  }

  /** Calls a function on the event loop and returns its result. */
  public <T> T ask(Callable<T> question) {
    return loop.submit(question).syncUninterruptibly().getNow();
  }

  /** Returns the number of bytes that the channel has read so far. */
  public int receivedBytes() {
    return ask(() -> received.bytes);
  }

  /** Returns whether the event loop reads the channel when bytes arrive. */
  public boolean isReadByLoop() {
    return ask(() -> channel.config().isAutoRead());
  }

  /** Writes this number of bytes from the peer to the channel. */
  public void write(int bytes) throws IOException {
    peer.getOutputStream().write(new byte[bytes]);
  }

  @Override
  public void close() throws IOException {
    peer.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** Counts received bytes and discards them. */
  private static final class ReceivedBytes extends ChannelInboundHandlerAdapter {
    private int bytes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      bytes += ((ByteBuf) message).readableBytes();
      ReferenceCountUtil.release(message);
    }
  }
}
