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

/** A connection on the loopback interface: a polled channel on a loop of its own, and its peer. */
public final class LoopbackConnection implements Closeable {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ReceivedBytes received = new ReceivedBytes();
  private final PollableSocketChannel channel;
  private final Socket peer;

  /** Connects; bytes are counted before they come to this handler. */
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

  /** The loop that the channel lives on. */
  public EventLoop loop() {
    return loop;
  }

  /** The end that is tested. */
  public PollableSocketChannel channel() {
    return channel;
  }

  /** The other end. */
  public Socket peer() {
    return peer;
  }

  /** Does something on the loop and waits for it. */
  public void run(Runnable task) {
    loop.submit(task).syncUninterruptibly();
  }

  /** Asks something on the loop. */
  public <T> T ask(Callable<T> question) {
    return loop.submit(question).syncUninterruptibly().getNow();
  }

  /** Bytes that have been read so far. */
  public int receivedBytes() {
    return ask(() -> received.bytes);
  }

  /** Whether the event loop reads the channel by itself. */
  public boolean isReadByLoop() {
    return ask(() -> channel.config().isAutoRead());
  }

  /** The peer writes this many bytes. */
  public void write(int bytes) throws IOException {
    peer.getOutputStream().write(new byte[bytes]);
  }

  @Override
  public void close() throws IOException {
    peer.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** Counts bytes in place of passing them on. */
  private static final class ReceivedBytes extends ChannelInboundHandlerAdapter {
    private int bytes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      bytes += ((ByteBuf) message).readableBytes();
      ReferenceCountUtil.release(message);
    }
  }
}
