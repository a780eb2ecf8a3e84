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
import slateslip.distribution.ToControl;
import slateslip.distribution.exchange.ExchangeMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.Framing;
import slateslip.protocol.MessageReader;
import slateslip.protocol.coordination.PeerFrame;
import slateslip.protocol.coordination.PeerMessageCodec;
import slateslip.protocol.distribution.DistributionCodec;
import slateslip.protocol.exchange.ExchangeCodec;

/**
 * The port for other agents: streams of data planes, and links of control agents. The schema of the
 * first message tells which. A connection that sends what is no message, or nothing, is closed.
 */
final class InternalServer {
  private static final Logger LOG = Logger.getLogger(InternalServer.class);
  private static final int BACKLOG = 1024;

  /** Everybody sends something several times a second. */
  private static final long SILENCE_MILLIS = 3_000;

  /** Beyond this nothing is queued on a stream; what it misses comes later as one change. */
  private static final int MAX_UNSENT_BYTES = 256 * 1024;

  private final EventLoopGroup group;
  private final byte[] greeting;
  private final Listener listener;
  private Channel server;

  /** Takes what comes in; called on the event loop. */
  interface Listener {
    void fromDataPlane(Channel channel, ToControl message);

    void dataPlaneWritable(Channel channel);

    void dataPlaneClosed(Channel channel);

    void fromPeer(String peer, ExchangeMessage message);

    void fromReplica(PeerFrame frame);
  }

  /**
   * Not listening yet.
   *
   * @param greeting encoded, sent back to a peer that has greeted
   */
  InternalServer(EventLoopGroup group, byte[] greeting, Listener listener) {
    this.group = group;
    this.greeting = greeting;
    this.listener = listener;
  }

  /**
   * Listens.
   *
   * @throws IOException if the address is taken or not there
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
                .addLast(new ReadTimeoutHandler(SILENCE_MILLIS, TimeUnit.MILLISECONDS));
            Framing.addDecoder(channel.pipeline());
            channel.pipeline().addLast(new Connection());
          }
        });
    ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen on " + address, bound.cause());
    }
    server = bound.channel();
  }

  /** Where it listens. */
  InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  void close() {
    server.close();
  }

  /** One connection that came in. */
  private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
    private final DistributionCodec distribution = new DistributionCodec();
    private final ExchangeCodec exchange = new ExchangeCodec();
    private String peer;
    private boolean dataPlane;

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
      byte[] message = Framing.bytes(buffer);
      if (peer != null) {
        fromPeer(context, message);
      } else if (dataPlane || MessageReader.schemaOf(message) != ExchangeCodec.SCHEMA_ID) {
        fromDataPlane(context, message);
      } else {
        greet(context, message);
      }
    }

    private void greet(ChannelHandlerContext context, byte[] message) {
      if (exchange.decode(message) instanceof Decoded.Message<ExchangeMessage> decoded
          && decoded.value() instanceof ExchangeMessage.Greeting first) {
        peer = first.address();
        context.writeAndFlush(Framing.frame(context.alloc(), greeting), context.voidPromise());
        listener.fromPeer(peer, first);
      } else {
        close(context, "no greeting");
      }
    }

    private void fromDataPlane(ChannelHandlerContext context, byte[] message) {
      Decoded<ToControl> decoded = distribution.decodeToControl(message);
      if (decoded instanceof Decoded.Message<ToControl> known) {
        dataPlane = true;
        listener.fromDataPlane(context.channel(), known.value());
      } else if (decoded instanceof Decoded.Malformed<ToControl> malformed) {
        close(context, malformed.reason());
      } else if (!dataPlane) {
        close(context, "a first message of another protocol");
      }
    }

    private void fromPeer(ChannelHandlerContext context, byte[] message) {
      if (MessageReader.schemaOf(message) == ExchangeCodec.SCHEMA_ID) {
        Decoded<ExchangeMessage> decoded = exchange.decode(message);
        if (decoded instanceof Decoded.Message<ExchangeMessage> known) {
          listener.fromPeer(peer, known.value());
        } else if (decoded instanceof Decoded.Malformed<ExchangeMessage> malformed) {
          close(context, malformed.reason());
        }
        return;
      }
      Decoded<PeerFrame> decoded = PeerMessageCodec.decode(message);
      if (decoded instanceof Decoded.Message<PeerFrame> known) {
        listener.fromReplica(known.value());
      } else if (decoded instanceof Decoded.Malformed<PeerFrame> malformed) {
        close(context, malformed.reason());
      }
    }

    private void close(ChannelHandlerContext context, String reason) {
      LOG.warnf("connection of %s closed: %s", context.channel().remoteAddress(), reason);
      context.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (dataPlane && context.channel().isWritable()) {
        listener.dataPlaneWritable(context.channel());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (dataPlane) {
        listener.dataPlaneClosed(context.channel());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      close(context, cause.toString());
    }
  }
}
