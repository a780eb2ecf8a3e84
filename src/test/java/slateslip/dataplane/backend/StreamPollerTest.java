package slateslip.dataplane.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.DataPlaneMetrics;
import slateslip.dataplane.transport.PollableSocketChannel;
import slateslip.eventloop.WakeUpCounter;

/**
 * Which connections are read together, and when one is left to the event loop again. Rounds are the
 * test's: the interval is an hour.
 */
class StreamPollerTest {
  private static final long AN_HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final StreamPoller poller = new StreamPoller(loop, new WakeUpCounter(), AN_HOUR_MILLIS);
  private final Received received = new Received();
  private BackendConnection connection;
  private Socket peer;

  @BeforeEach
  void connect() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
      BackendPool pool = new BackendPool("b", "svc", address);
      connection = new BackendConnection(pool, new DataPlaneMetrics());
      Channel channel =
          new Bootstrap()
              .group(loop)
              .channelFactory(PollableSocketChannel::new)
              .handler(connection)
              .connect(address)
              .syncUninterruptibly()
              .channel();
      channel.pipeline().addFirst(received);
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

  private void round() {
    onLoop(
        () -> {
          poller.poll();
          return null;
        });
  }

  private void takeOver() {
    onLoop(
        () -> {
          poller.add(connection);
          return null;
        });
  }

  private boolean isReadByLoop() {
    return onLoop(() -> connection.channel.config().isAutoRead());
  }

  private void write(int bytes) throws IOException {
    peer.getOutputStream().write(new byte[bytes]);
  }

  @Test
  void whatArrivesIsReadInTheNextRoundAndNotBefore() throws IOException {
    takeOver();
    write(10);
    assertThat(isReadByLoop(), is(false));
    assertThat(onLoop(() -> received.bytes), is(0));
    round();
    assertThat(onLoop(() -> received.bytes), is(10));
    assertThat(isReadByLoop(), is(false));
  }

  @Test
  void aStreamThatPausesIsLeftToTheEventLoop() {
    takeOver();
    round();
    assertThat(isReadByLoop(), is(false));
    round();
    assertThat(isReadByLoop(), is(true));
  }

  @Test
  void aStreamThatBringsMoreThanFitsIsLeftToTheEventLoop() throws IOException {
    takeOver();
    write(100_000);
    round();
    assertThat(isReadByLoop(), is(true));
  }

  @Test
  void theEndOfAConnectionIsFound() throws IOException {
    takeOver();
    peer.close();
    round();
    assertThat(onLoop(() -> connection.channel.isOpen()), is(false));
  }

  @Test
  void oneThatWasLeftAloneIsNotRead() throws IOException {
    takeOver();
    onLoop(
        () -> {
          poller.remove(connection);
          return null;
        });
    write(10);
    round();
    assertThat(onLoop(() -> received.bytes), is(0));
  }

  /** Counts bytes in place of reading them as a response. */
  private static final class Received extends ChannelInboundHandlerAdapter {
    private int bytes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      bytes += ((ByteBuf) message).readableBytes();
      ReferenceCountUtil.release(message);
    }
  }
}
