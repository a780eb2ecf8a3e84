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
 * The connection on which this agent sends to one other agent. It is dialled again whenever it
 * breaks; the first message that comes back on it is the peer's greeting. Confined to the event
 * loop.
 */
final class ReconnectingPeerConnection implements PeerConnector.PeerConnection {
  private static final Logger LOG = Logger.getLogger(ReconnectingPeerConnection.class);
  private static final int CONNECT_MILLIS = 500;
  private static final long FIRST_PAUSE_MILLIS = 30;
  private static final long LONGEST_PAUSE_MILLIS = 400;

  /** A peer that leaves this much unread is not served on this connection any more. */
  private static final int MAX_UNSENT_BYTES = 16 * 1024 * 1024;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final byte[] greeting;
  private final PeerConnector.Listener listener;
  private Channel channel;
  private boolean greeted;
  private boolean closed;
  private long pauseMillis = FIRST_PAUSE_MILLIS;

  ReconnectingPeerConnection(
      EventLoop loop, InetSocketAddress address, byte[] greeting, PeerConnector.Listener listener) {
    this.loop = loop;
    this.address = address;
    this.greeting = greeting;
    this.listener = listener;
  }

  void dial() {
    Bootstrap bootstrap = new Bootstrap();
    bootstrap.group(loop).channel(NioSocketChannel.class);
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
    bootstrap.option(ChannelOption.TCP_NODELAY, true);
    bootstrap.option(ChannelOption.SO_LINGER, 0);
    bootstrap.option(
        ChannelOption.WRITE_BUFFER_WATER_MARK,
        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES));
    bootstrap.handler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel dialled) {
            Framing.addDecoder(dialled.pipeline());
            dialled.pipeline().addLast(new Reader());
          }
        });
    ChannelFuture connecting = bootstrap.connect(address);
    connecting.addListener(done -> connected(connecting));
  }

  private void connected(ChannelFuture connecting) {
    if (!connecting.isSuccess()) {
      dialLater();
      return;
    }
    if (closed) {
      connecting.channel().close();
      return;
    }
    channel = connecting.channel();
    channel.closeFuture().addListener(done -> broken());
    send(greeting);
  }

  private void broken() {
    boolean wasUp = greeted;
    channel = null;
    greeted = false;
    if (wasUp) {
      listener.down();
    }
    dialLater();
  }

  private void dialLater() {
    if (closed) {
      return;
    }
    loop.schedule(this::dialAgain, pauseMillis, TimeUnit.MILLISECONDS);
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
  }

  private void dialAgain() {
    if (!closed) {
      dial();
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
      if (!greeted) {
        greeted = true;
        pauseMillis = FIRST_PAUSE_MILLIS;
        listener.up(Framing.bytes(message));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
