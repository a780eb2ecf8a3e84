package slateslip.dataplane.subscription;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.transport.PollableSocketChannel;

/** How a connection to a control agent is read, by what comes on it; ticks are the test's. */
class ControlConnectionTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Received received = new Received();
  private ControlConnection connection;
  private Socket peer;

  @BeforeEach
  void connect() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      PollableSocketChannel channel =
          (PollableSocketChannel)
              new Bootstrap()
                  .group(loop)
                  .channelFactory(PollableSocketChannel::new)
                  .handler(received)
                  .connect(server.getLocalSocketAddress())
                  .syncUninterruptibly()
                  .channel();
      connection = new ControlConnection(channel);
      peer = server.accept();
    }
  }

  @AfterEach
  void close() throws IOException {
    peer.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private <T> T onLoop(Callable<T> task) {
    return loop.submit(task).syncUninterruptibly().getNow();
  }

  private void tick(boolean mayWait) {
    onLoop(
        () -> {
          connection.tick(mayWait);
          return null;
        });
  }

  private boolean isReadAsItComes() {
    return onLoop(() -> connection.channel.config().isAutoRead());
  }

  @Test
  void whatIsUrgentIsReadAsItComes() {
    tick(false);
    assertThat(isReadAsItComes(), is(true));
  }

  @Test
  void aQuietConnectionIsReadOnceATick() throws IOException {
    tick(true);
    peer.getOutputStream().write(new byte[100]);
    assertThat(isReadAsItComes(), is(false));
    assertThat(onLoop(() -> received.bytes), is(0));
    tick(true);
    assertThat(onLoop(() -> received.bytes), is(100));
    assertThat(isReadAsItComes(), is(false));
  }

  @Test
  void aBusyConnectionIsReadAsItComesUntilItIsQuiet() {
    onLoop(
        () -> {
          connection.received(100_000);
          return null;
        });
    tick(true);
    assertThat(isReadAsItComes(), is(true));
    tick(true);
    assertThat(isReadAsItComes(), is(false));
  }

  @Test
  void moreThanFitsIsReadOnAsItComes() throws IOException {
    tick(true);
    peer.getOutputStream().write(new byte[20_000]);
    tick(true);
    assertThat(isReadAsItComes(), is(true));
  }

  @Test
  void theEndIsFoundAtATick() throws IOException {
    tick(true);
    peer.close();
    tick(true);
    assertThat(onLoop(() -> connection.channel.isOpen()), is(false));
  }

  /** Counts bytes in place of reading messages. */
  private static final class Received extends ChannelInboundHandlerAdapter {
    private int bytes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      bytes += ((ByteBuf) message).readableBytes();
      ReferenceCountUtil.release(message);
    }
  }
}
