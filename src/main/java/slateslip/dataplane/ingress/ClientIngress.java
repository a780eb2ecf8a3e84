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
 * Listens for clients, and keeps their connections within time, number and memory. On the event
 * loop.
 */
public final class ClientIngress {
  /** When a client that found no memory should come back. */
  static final long RETRY_AFTER_MICROS = 250_000;

  private static final int ACCEPT_BACKLOG = 1024;
  private static final long SWEEP_MILLIS = 200;

  /** Part of the heap that bodies of requests may take. */
  private static final int BODIES_PART = 5;

  /** From this part of the room on each answer is the last of its connection. */
  private static final double PRESSED_PART = 0.8;

  private final IngressListener listener;
  private final int maxConnections;
  private final ClientServerSocketChannel server;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private IngressLimits limits = IngressLimits.DEFAULT;
  private long reservedBytes;
  private boolean shuttingDown;
  private boolean refusing;

  /** Listens; called from outside the loop. */
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
    periodic.every(SWEEP_MILLIS, this::sweep);
  }

  private void open(ClientSocketChannel channel) {
    int headerBytes = limits.maxHeaderBytes();
    StrictHttpDecoders.Requests decoder = new StrictHttpDecoders.Requests(headerBytes, headerBytes);
    ClientConnection connection = new ClientConnection(this, channel, decoder);
    channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return server.localAddress();
  }

  /** Limits that hold from now on; connections that are open keep their limit on headers. */
  public void apply(IngressLimits next) {
    limits = next;
  }

  IngressLimits limits() {
    return limits;
  }

  IngressListener listener() {
    return listener;
  }

  /** How many connections there are. */
  public int size() {
    return connections.size();
  }

  /** Bytes of answers that wait for their clients to read on. */
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

  /** Requests that were read whole and wait for the responses before them. */
  public int pipelinedRequests() {
    return connections.stream().mapToInt(ClientConnection::pipelinedRequests).sum();
  }

  /** From now on each answer is the last of its connection. */
  public void startShutdown() {
    shuttingDown = true;
  }

  boolean endsConnections() {
    return shuttingDown || connections.size() >= PRESSED_PART * maxConnections;
  }

  /** Closes connections on which no request is under way. */
  public void closeIdle() {
    List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
  }

  /** From now on requests get the response that they have not run, and may be sent elsewhere. */
  public void refuseRequests() {
    refusing = true;
  }

  boolean refusesRequests() {
    return refusing;
  }

  /** Takes no further connections but those that have come already. */
  public void stopListening() {
    server.acceptPending(maxConnections - connections.size());
    server.close();
  }

  boolean reserve(int bytes) {
    if (reservedBytes + bytes > Runtime.getRuntime().maxMemory() / BODIES_PART) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  void release(int bytes) {
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
      case RESTING -> {
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
      case ANSWERING -> {}
    }
  }
}
