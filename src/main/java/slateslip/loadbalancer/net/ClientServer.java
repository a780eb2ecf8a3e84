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
 * The server for clients: accepts connections, reads requests and sends each exchange exactly one
 * final response. A pipelined request waits for the responses to the requests before it. A
 * malformed request receives an error response in its turn, after which its connection closes.
 * Confined to the agent's event loop.
 */
final class ClientServer {
  /** Receives requests and departures of clients, on the event loop. */
  interface Listener {
    /**
     * Called for each well-formed request. The receiver must send exactly one response through the
     * exchange.
     */
    void request(IncomingRequest request, ClientExchange exchange);

    /** Called when the client has closed its connection before the response to this exchange. */
    void clientLeft(ClientExchange exchange);
  }

  /** The maximum number of consecutive reads from one connection. */
  private static final int MAX_READS = 16;

  private static final long SWEEP_MS = 100;

  private AgentConfig config;
  private final Listener listener;
  private final BooleanSupplier ready;
  private final Channel server;
  private final ClientConnections connections;
  private boolean shuttingDown;
  private boolean draining;

  /**
   * Binds the listening socket. Must be called from outside the event loop. Throws IOException if
   * the address cannot be bound.
   */
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
            // Reads until no input is left, so that a close is detected together with the requests
            // before it.
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

  /** Applies another configuration and another limit on the number of connections. */
  void apply(AgentConfig next, int max) {
    config = next;
    connections.setMaxConnections(max);
  }

  /**
   * Parses a request again if the configuration has changed since its head was read. The indexes of
   * a request's class and tenant are valid only for the configuration that it was parsed with.
   *
   * @return the request for the configuration in force, or null if the request is no longer valid,
   *     for example because its class has been removed
   */
  // Each configuration that comes into force is a distinct object.
  @SuppressWarnings("ReferenceEquality")
  IncomingRequest reparse(IncomingRequest request) {
    if (request.config() == config) {
      return request;
    }
    OutgoingRequest forward = request.forward();
    IncomingRequest reparsed =
        parse(
            new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, forward.method(), forward.uri(), forward.headers()));
    return reparsed == null ? null : reparsed.withBody(forward.body());
  }

  /** Makes health checks report that the agent is not ready. Requests are still served. */
  void startShutdown() {
    shuttingDown = true;
  }

  /**
   * Makes each response the last one of its connection, and closes unused connections. A new
   * connection is closed only after its first request should have arrived.
   */
  void drain() {
    draining = true;
    connections.closeUnused();
  }

  /**
   * Closes the listening socket, and shortly afterwards closes connections whose request is
   * incomplete.
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

  /** Returns whether no client is connected. */
  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** Returns the number of client connections. */
  int size() {
    return connections.size();
  }

  /** Parses a request with the configuration in force; returns null if the request is not valid. */
  IncomingRequest parse(HttpRequest request) {
    return RequestParser.parse(config, request);
  }

  AgentConfig config() {
    return config;
  }

  Listener listener() {
    return listener;
  }

  /** Returns whether the agent serves requests and no shutdown has started. */
  boolean isReady() {
    return ready.getAsBoolean() && !shuttingDown;
  }

  /** Returns whether each response is the last one of its connection. */
  boolean closesConnections() {
    return draining || connections.underPressure();
  }

  private void setAccepting(boolean accepting) {
    server.config().setAutoRead(accepting);
  }
}
