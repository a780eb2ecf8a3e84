package slateslip.controlplane;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import slateslip.controlplane.agent.PeerConnector;
import slateslip.protocol.Framing;

/**
 * The connection on which this agent sends messages to one peer. A broken connection is
 * re-established with exponential backoff. The only message expected from the peer on this
 * connection is its hello message. Confined to the event loop.
 */
final class ReconnectingPeerConnection implements PeerConnector.PeerConnection {
  private static final Logger LOG = Logger.getLogger(ReconnectingPeerConnection.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long INITIAL_BACKOFF_MILLIS = 30;
  private static final long MAX_BACKOFF_MILLIS = 400;

  /**
   * Number of unsent bytes above which the connection is closed, because the peer does not read.
   */
  private static final int MAX_UNSENT_BYTES = 16 * 1024 * 1024;

  private final EventLoop eventLoop;
  private final InetSocketAddress address;
  private final byte[] encodedHello;
  private final PeerConnector.Listener listener;
  private Channel channel;
  private boolean helloReceived;
  private boolean closed;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;

  ReconnectingPeerConnection(
      EventLoop eventLoop,
      InetSocketAddress address,
      byte[] encodedHello,
      PeerConnector.Listener listener) {
    this.eventLoop = eventLoop;
    this.address = address;
    this.encodedHello = encodedHello;
    this.listener = listener;
  }

  /** Starts to connect to the peer. */
  void connect() {
    Bootstrap bootstrap = new Bootstrap();
    bootstrap.group(eventLoop).channel(NioSocketChannel.class);
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    bootstrap.option(ChannelOption.TCP_NODELAY, true);
    bootstrap.option(ChannelOption.SO_LINGER, 0);
    bootstrap.option(
        ChannelOption.WRITE_BUFFER_WATER_MARK,
        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES));
    bootstrap.handler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            Framing.addDecoder(channel.pipeline());
            channel.pipeline().addLast(new Reader());
          }
        });
    ChannelFuture connectFuture = bootstrap.connect(address);
    connectFuture.addListener(completed -> connected(connectFuture));
  }

  private void connected(ChannelFuture connectFuture) {
    if (!connectFuture.isSuccess()) {
      reconnectLater();
      return;
    }
    if (closed) {
      connectFuture.channel().close();
      return;
    }
    channel = connectFuture.channel();
    channel.closeFuture().addListener(completed -> connectionLost());
    send(encodedHello);
  }

  private void connectionLost() {
    boolean wasConnected = helloReceived;
    channel = null;
    helloReceived = false;
    if (wasConnected) {
      listener.disconnected();
    }
    reconnectLater();
  }

  private void reconnectLater() {
    if (closed) {
      return;
    }
    eventLoop.schedule(this::reconnect, backoffMillis, TimeUnit.MILLISECONDS);
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
  }

  private void reconnect() {
    if (!closed) {
      connect();
    }
  }

  @Override
  public void send(byte[] message) {
    if (channel == null || !channel.isActive()) {
      return;
    }
    if (!channel.isWritable()) {
      LOG.warnf("peer %s does not read", address);
      channel.close();
      return;
    }
    channel.writeAndFlush(Framing.frame(channel.alloc(), message), channel.voidPromise());
  }

  @Override
  public void reset() {
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void close() {
    closed = true;
    reset();
  }

  private final class Reader extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
      if (!helloReceived) {
        helloReceived = true;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        listener.connected(Framing.bytes(message));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
