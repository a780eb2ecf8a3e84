package slateslip.dataplane.subscription;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import slateslip.dataplane.PeriodicTasks;
import slateslip.dataplane.transport.PollableSocketChannel;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.QuotaReport;
import slateslip.eventloop.WakeUpCause;
import slateslip.eventloop.WakeUpCounter;
import slateslip.protocol.Decoded;
import slateslip.protocol.Framing;
import slateslip.protocol.distribution.DistributionCodec;

/**
 * Carries out the actions of a {@link Subscription} over TCP streams to control agents. Confined to
 * the event loop, except for {@link #receivedBytes}.
 */
public final class SubscriptionClient {
  /** Receives the outputs of the subscription that do not concern its streams. */
  public interface Listener {
    /** Puts an output into force or logs it. Called on the event loop. */
    void outputProduced(SubscriptionOutput output);
  }

  private static final int CONNECT_MILLIS = 1_000;

  private final EventLoop loop;
  private final WakeUpCounter wakeUps;
  private final Subscription subscription;
  private final int port;
  private final Supplier<QuotaReport> quotaReport;
  private final Listener listener;
  private final DistributionCodec codec = new DistributionCodec();
  private final Map<String, ControlConnection> connections = new HashMap<>();
  private final AtomicLong receivedBytes = new AtomicLong();

  /**
   * Creates a client that does nothing before {@link #start}.
   *
   * @param periodic runs the client at each tick
   * @param port port at which control agents listen for data planes
   * @param quotaReport returns the current quota state of the tenants
   */
  public SubscriptionClient(
      EventLoop loop,
      PeriodicTasks periodic,
      Subscription subscription,
      int port,
      Supplier<QuotaReport> quotaReport,
      Listener listener) {
    this.loop = loop;
    this.subscription = subscription;
    this.port = port;
    this.quotaReport = quotaReport;
    this.listener = listener;
    this.wakeUps = periodic.wakeUps();
    periodic.every(Subscription.TICK_MILLIS, this::tick);
  }

  /** Starts to connect without waiting for the first tick. */
  public void start() {
    tick();
  }

  private void tick() {
    QuotaReport report = quotaReport.get();
    boolean mayWait = subscription.isSettled(nowMillis()) && !report.waiting();
    for (ControlConnection connection : List.copyOf(connections.values())) {
      connection.tick(mayWait);
    }
    feed(new SubscriptionInput.Tick(report));
  }

  /**
   * Returns the number of bytes received in messages so far, including the length fields. May be
   * called from any thread.
   */
  public long receivedBytes() {
    return receivedBytes.get();
  }

  /** Replaces the control agents that the settings name. */
  public void seedsChanged(List<String> seeds) {
    feed(new SubscriptionInput.SeedsChanged(seeds));
  }

  private void feed(SubscriptionInput input) {
    for (SubscriptionOutput output : subscription.handle(nowMillis(), input)) {
      carryOut(output);
    }
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private void carryOut(SubscriptionOutput output) {
    if (output instanceof SubscriptionOutput.Dial dial) {
      dial(dial.agent());
    } else if (output instanceof SubscriptionOutput.Close close) {
      ControlConnection connection = connections.remove(close.agent());
      if (connection != null) {
        connection.channel.close();
      }
    } else if (output instanceof SubscriptionOutput.Send send) {
      ControlConnection connection = connections.get(send.agent());
      if (connection != null) {
        Channel channel = connection.channel;
        channel.writeAndFlush(Framing.frame(channel.alloc(), codec.encode(send.message())));
      }
    } else {
      listener.outputProduced(output);
    }
  }

  private void dial(String agent) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channelFactory(PollableSocketChannel::new)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new ArrivalHandler(agent));
                    Framing.addDecoder(channel.pipeline());
                    channel.pipeline().addLast(new MessageHandler(agent));
                  }
                })
            .connect(new InetSocketAddress(agent, port));
    ControlConnection connection =
        new ControlConnection((PollableSocketChannel) connecting.channel());
    connections.put(agent, connection);
    connecting.addListener(
        done -> {
          wakeUps.attribute(WakeUpCause.CONTROL);
          if (done.isSuccess() && connections.get(agent) == connection) {
            feed(new SubscriptionInput.Connected(agent));
          } else if (!done.isSuccess()) {
            channelEnded(agent, connection.channel);
          }
        });
  }

  /**
   * Reports the end of a channel to the subscription: once per channel, and not for a channel that
   * the subscription has closed.
   */
  private void channelEnded(String agent, Channel channel) {
    ControlConnection connection = connections.get(agent);
    if (connection != null && connection.channel == channel) {
      connections.remove(agent);
      feed(new SubscriptionInput.Disconnected(agent));
    }
  }

  /** Reports the arrival of bytes, also of those that do not complete a message yet. */
  private final class ArrivalHandler extends ChannelInboundHandlerAdapter {
    private final String agent;

    ArrivalHandler(String agent) {
      this.agent = agent;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      ControlConnection connection = connections.get(agent);
      if (connection != null && connection.channel == context.channel()) {
        feed(new SubscriptionInput.BytesReceived(agent));
      }
      context.fireChannelRead(bytes);
    }
  }

  private final class MessageHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final String agent;

    MessageHandler(String agent) {
      this.agent = agent;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      wakeUps.attribute(WakeUpCause.CONTROL);
      int bytes = Framing.LENGTH_BYTES + frame.readableBytes();
      receivedBytes.addAndGet(bytes);
      ControlConnection connection = connections.get(agent);
      if (connection == null || connection.channel != context.channel()) {
        return;
      }
      connection.countReceived(bytes);
      Decoded<ControlPlaneMessage> decoded = codec.decodeToDataPlane(frame);
      if (decoded instanceof Decoded.Message<ControlPlaneMessage> message) {
        feed(new SubscriptionInput.Received(agent, message.value()));
      } else if (decoded instanceof Decoded.Malformed<ControlPlaneMessage> malformed) {
        listener.outputProduced(
            new SubscriptionOutput.LogLine(
                "malformed message from control agent " + agent + ": " + malformed.reason()));
        context.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      channelEnded(agent, context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
