package slateslip.dataplane.ingress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import slateslip.configuration.IngressLimits;
import slateslip.dataplane.PeriodicTasks;
import slateslip.loadbalancer.net.StrictHttpDecoders;

/**
 * Listens for clients, and enforces timeouts and limits on the number and the memory of their
 * connections. Confined to the event loop.
 */
public final class ClientIngress {
  /**
   * Time in {@code Retry-After} for requests that are refused for lack of memory or during a
   * shutdown.
   */
  static final long RETRY_AFTER_MICROS = 250_000;

  private static final int ACCEPT_BACKLOG = 1024;
  private static final long SWEEP_INTERVAL_MILLIS = 200;

  /** Request bodies may use at most the maximum heap size divided by this number. */
  private static final int BODY_HEAP_DIVISOR = 5;

  /** Fraction of the connection limit from which on each response is the last on its connection. */
  private static final double CLOSE_CONNECTIONS_FRACTION = 0.8;

  private final IngressListener listener;
  private final int maxConnections;
  private final ClientServerSocketChannel server;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private IngressLimits limits = IngressLimits.DEFAULT;
  private long reservedBytes;
  private boolean shuttingDown;
  private boolean refusingRequests;

  /**
   * Creates an ingress and starts to listen. Must not be called on the event loop.
   *
   * @throws IOException if the ingress cannot listen on the address
   */
  public ClientIngress(
      EventLoop loop,
      PeriodicTasks periodic,
      InetSocketAddress address,
      int maxConnections,
      IngressListener listener)
      throws IOException {
    this.listener = listener;
    this.maxConnections = maxConnections;
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(ClientServerSocketChannel::new)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<ClientSocketChannel>() {
                  @Override
                  protected void initChannel(ClientSocketChannel channel) {
                    open(channel);
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      throw new IOException("cannot listen on " + address + ": " + bindFuture.cause().getMessage());
    }
    this.server = (ClientServerSocketChannel) bindFuture.channel();
    periodic.every(SWEEP_INTERVAL_MILLIS, this::sweep);
  }

  private void open(ClientSocketChannel channel) {
    int headerBytes = limits.maxHeaderBytes();
    StrictHttpDecoders.Requests decoder = new StrictHttpDecoders.Requests(headerBytes, headerBytes);
    ClientConnection connection = new ClientConnection(this, channel, decoder);
    channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
  }

  /** Returns the address that the ingress listens on. */
  public InetSocketAddress address() {
    return server.localAddress();
  }

  /**
   * Applies new limits. Connections that are already open keep their limit on the size of headers.
   */
  public void apply(IngressLimits next) {
    limits = next;
  }

  IngressLimits limits() {
    return limits;
  }

  IngressListener listener() {
    return listener;
  }

  /** Returns the number of open client connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Returns the number of response bytes that cannot be written until clients read more. */
  public long pendingBytes() {
    long bytes = 0;
    for (ClientConnection connection : connections) {
      bytes +=
          connection.channel().unsafe().outboundBuffer() == null
              ? 0
              : connection.channel().unsafe().outboundBuffer().totalPendingWriteBytes();
    }
    return bytes;
  }

  /**
   * Returns the number of requests that were read completely and wait for the responses to earlier
   * requests on their connection.
   */
  public int pipelinedRequests() {
    return connections.stream().mapToInt(ClientConnection::pipelinedRequests).sum();
  }

  /**
   * Starts the shutdown: from now on each response is the last on its connection, unless a further
   * request has already arrived.
   */
  public void startShutdown() {
    shuttingDown = true;
  }

  boolean closesAfterResponse() {
    return shuttingDown || connections.size() >= CLOSE_CONNECTIONS_FRACTION * maxConnections;
  }

  /** Closes all connections on which no request is in progress. */
  public void closeIdle() {
    List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
  }

  /**
   * Refuses all requests from now on with status 503: these requests are not executed, and clients
   * may send them to another data plane.
   */
  public void refuseRequests() {
    refusingRequests = true;
  }

  boolean refusesRequests() {
    return refusingRequests;
  }

  /**
   * Stops listening after accepting the connections that have already arrived, up to the connection
   * limit.
   */
  public void stopListening() {
    server.acceptPending(maxConnections - connections.size());
    server.close();
  }

  boolean reserveBodyBytes(int bytes) {
    if (reservedBytes + bytes > Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  void releaseBodyBytes(int bytes) {
    reservedBytes -= bytes;
  }

  void opened(ClientConnection connection) {
    connections.add(connection);
    limitAccepting();
  }

  void closed(ClientConnection connection) {
    connections.remove(connection);
    limitAccepting();
  }

  private void limitAccepting() {
    server.config().setAutoRead(connections.size() < maxConnections);
  }

  private void sweep() {
    for (ClientConnection connection : List.copyOf(connections)) {
      sweep(connection);
    }
  }

  private void sweep(ClientConnection connection) {
    long millis = TimeUnit.NANOSECONDS.toMillis(connection.phaseNanos());
    switch (connection.phase()) {
      case IDLE -> {
        if (millis >= limits.idleTimeoutMillis()) {
          connection.closeIfIdle();
        }
      }
      case READING_HEAD -> {
        if (millis >= limits.headerTimeoutMillis()) {
          connection.timeOut();
        }
      }
      case READING_BODY -> {
        if (millis >= limits.idleTimeoutMillis()) {
          connection.timeOut();
        }
      }
      case CLOSING -> {
        boolean clientReads = connection.hasPendingBytes();
        if (millis >= (clientReads ? limits.idleTimeoutMillis() : limits.headerTimeoutMillis())) {
          connection.channel().close();
        }
      }
      case RESPONDING -> {}
    }
  }
}
