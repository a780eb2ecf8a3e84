package slateslip.loadbalancer.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * The application's side: requests in, final answers out. Each exchange is answered once; what is
 * asked in advance on a connection waits for the response before it. What is no request as the
 * protocol has it is answered with an error in its turn, and its connection ends. All of it runs on
 * the agent's event loop.
 */
final class ClientServer {
  /** What the agent hears. */
  interface Listener {
    /** A well-formed request has come; it is owed one answer through its exchange. */
    void request(IncomingRequest request, ClientExchange exchange);

    /** The client has closed its connection with this exchange unanswered. */
    void clientLeft(ClientExchange exchange);
  }

  /** Reads of one connection in a row. */
  private static final int MAX_READS = 16;

  private static final long SWEEP_MS = 100;

  private AgentConfig config;
  private final Listener listener;
  private final BooleanSupplier ready;
  private final Channel server;
  private final ClientConnections connections;
  private boolean shuttingDown;
  private boolean draining;

  /** Listens; fails with an exception if it cannot. Called from outside the loop. */
  ClientServer(
      EventLoop loop,
      AgentConfig config,
      int maxConnections,
      BooleanSupplier ready,
      Listener listener,
      LongSupplier nanoClock)
      throws IOException {
    this.config = config;
    this.listener = listener;
    this.ready = ready;
    this.connections = new ClientConnections(maxConnections, nanoClock, this::setAccepting);
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // Reads until nothing is left: a close that has come is seen with what came before it.
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    StrictHttpDecoders.Requests decoder = new StrictHttpDecoders.Requests();
                    ch.pipeline()
                        .addLast(
                            decoder,
                            new HttpResponseEncoder(),
                            new ClientConnection(ClientServer.this, connections, ch, decoder));
                  }
                })
            .bind(config.listen())
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      throw new IOException(
          "cannot listen on " + config.listen() + ": " + bindFuture.cause().getMessage());
    }
    this.server = bindFuture.channel();
    loop.scheduleWithFixedDelay(connections::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  Channel channel() {
    return server;
  }

  /** Goes by another configuration from now on. */
  void apply(AgentConfig next, int max) {
    config = next;
    connections.limitTo(max);
  }

  /**
   * A request as the configuration in force takes it. Guards against the class or tenant of one
   * configuration being taken for what has its place in another, where that came between the
   * request's head and its turn.
   *
   * @return null if it is no request any more, as with a class that has been removed
   */
  @SuppressWarnings("ReferenceEquality") // each configuration taken over is an object of its own
  IncomingRequest reparse(IncomingRequest request) {
    if (request.config() == config) {
      return request;
    }
    OutgoingRequest forward = request.forward();
    IncomingRequest again =
        parse(
            new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, forward.method(), forward.uri(), forward.headers()));
    return again == null ? null : again.with(forward.body());
  }

  /** From now on it says that it is not ready; all else goes on. */
  void startShutdown() {
    shuttingDown = true;
  }

  /**
   * From now on each answer is the last of its connection, and connections in no use are closed; a
   * new one once its first request must have come.
   */
  void drain() {
    draining = true;
    connections.closeUnused();
  }

  /**
   * Takes no further connections, and from those there are soon nothing that has not come whole.
   */
  void stopListening() {
    server.close();
    drain();
    server
        .eventLoop()
        .schedule(
            connections::closeIncomplete,
            ClientConnections.MIN_FIRST_REQUEST_NANOS,
            TimeUnit.NANOSECONDS);
  }

  /** Whether no connection is left. */
  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** How many connections there are. */
  int size() {
    return connections.size();
  }

  /** A request by the configuration in force, or null if it is none. */
  IncomingRequest parse(HttpRequest request) {
    return RequestParser.parse(config, request);
  }

  AgentConfig config() {
    return config;
  }

  Listener listener() {
    return listener;
  }

  /** Whether the agent takes requests and is not about to end. */
  boolean isReady() {
    return ready.getAsBoolean() && !shuttingDown;
  }

  /** Whether each answer is the last of its connection. */
  boolean endsConnections() {
    return draining || connections.underPressure();
  }

  private void setAccepting(boolean accepting) {
    server.config().setAutoRead(accepting);
  }
}
