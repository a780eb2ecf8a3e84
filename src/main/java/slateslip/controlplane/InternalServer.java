package slateslip.controlplane;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import slateslip.controlplane.agent.IncomingConnection;
import slateslip.eventloop.WakeUpCause;
import slateslip.eventloop.WakeUpCounter;
import slateslip.protocol.Framing;

/**
 * Accepts the connections of data planes and of other control agents on the internal port. The
 * schema of the first message distinguishes data planes from control agents. A connection that
 * sends a malformed message, or nothing for the read timeout, is closed.
 */
final class InternalServer {
  private static final Logger LOG = Logger.getLogger(InternalServer.class);
  private static final int BACKLOG = 1024;

  /**
   * Limits how long a connection may be silent. Every data plane and control agent sends messages
   * several times per second.
   */
  private static final long READ_TIMEOUT_MILLIS = 3_000;

  /**
   * Number of unsent bytes above which no more messages are queued on a connection. A data plane
   * later receives the missed changes combined into one change.
   */
  private static final int MAX_UNSENT_BYTES = 256 * 1024;

  private final EventLoopGroup group;
  private final byte[] encodedHello;
  private final IncomingConnection.Listener listener;
  private final WakeUpCounter wakeUps;
  private Channel server;

  /**
   * Creates a server that does not listen before {@link #listen}.
   *
   * @param encodedHello encoded hello message of this agent, sent in response to the hello of a
   *     peer
   */
  InternalServer(
      EventLoopGroup group,
      byte[] encodedHello,
      IncomingConnection.Listener listener,
      WakeUpCounter wakeUps) {
    this.group = group;
    this.encodedHello = encodedHello;
    this.listener = listener;
    this.wakeUps = wakeUps;
  }

  /**
   * Starts to listen on an address.
   *
   * @throws IOException if the address is in use or not an address of this machine
   */
  void listen(InetSocketAddress address) throws IOException {
    ServerBootstrap bootstrap = new ServerBootstrap();
    bootstrap.group(group).channel(NioServerSocketChannel.class);
    bootstrap.option(ChannelOption.SO_BACKLOG, BACKLOG);
    bootstrap.option(ChannelOption.SO_REUSEADDR, true);
    bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
    bootstrap.childOption(ChannelOption.SO_LINGER, 0);
    bootstrap.childOption(
        ChannelOption.WRITE_BUFFER_WATER_MARK,
        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES));
    bootstrap.childHandler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(new ReadTimeoutHandler(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            Framing.addDecoder(channel.pipeline());
            channel.pipeline().addLast(new Connection());
          }
        });
    ChannelFuture bindFuture = bootstrap.bind(address).awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      throw new IOException("cannot listen on " + address, bindFuture.cause());
    }
    server = bindFuture.channel();
  }

  /** Returns the address on which the server listens. */
  InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  void close() {
    server.close();
  }

  /** Adapts one incoming Netty connection to an {@link IncomingConnection}. */
  private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
    private IncomingConnection connection;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connection =
          new IncomingConnection(
              new NettyDataPlaneStream(context.channel()), encodedHello, listener);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
      wakeUps.attribute(WakeUpCause.CONTROL);
      connection.received(Framing.bytes(buffer));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (connection != null && context.channel().isWritable()) {
        connection.writable();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (connection != null) {
        connection.closed();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.warnf("connection of %s closed: %s", context.channel().remoteAddress(), cause);
      context.close();
    }
  }
}
