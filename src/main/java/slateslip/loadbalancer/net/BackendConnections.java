package slateslip.loadbalancer.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/**
 * The connections to the servers: a pool, one request a connection, attempts and probes with their
 * outcomes. All of it runs on the agent's event loop, and every result is queued there, not handed
 * over in a call.
 */
final class BackendConnections {
  static final String REQUEST_TIMEOUT = "Request-Timeout-Ms";
  static final int BODY_MAX = 64 << 10;

  static final byte[] NO_BODY = new byte[0];

  /** The part of the servers' idle time after which a connection is not used again. */
  private static final double IDLE_TIME_FRACTION = 0.75;

  private static final long SWEEP_SECONDS = 1;

  /**
   * A connection rests for this long after a response. Guards against a second copy or noise right
   * behind the response, which would be taken for the response of the next request: it shows in
   * that time.
   */
  private static final long REUSE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  private static final long PROBE_TIMEOUT_MICROS = 250_000;

  private final EventLoop loop;
  private AgentConfig config;
  private final RequestStatistics statistics;
  private final Bootstrap bootstrap;
  private final IdleConnectionTimeout idleTimeout;
  private int maxConnections;

  /** How long a connection may take, ms. */
  private int connectTimeoutMillis;

  private final Map<Long, BackendPool> pools = new HashMap<>();
  private int connections;

  BackendConnections(
      EventLoop loop, AgentConfig config, int maxConnections, RequestStatistics statistics) {
    this(loop, config, maxConnections, statistics, InspectableSocketChannel::new);
  }

  /** With sockets that come from elsewhere than the usual ones. */
  BackendConnections(
      EventLoop loop,
      AgentConfig config,
      int maxConnections,
      RequestStatistics statistics,
      ChannelFactory<InspectableSocketChannel> sockets) {
    this.loop = loop;
    this.statistics = statistics;
    this.config = config;
    this.maxConnections = maxConnections;
    this.connectTimeoutMillis = connectMs(config);
    this.idleTimeout = new IdleConnectionTimeout(idleNanos(config), System.nanoTime());
    this.bootstrap =
        new Bootstrap().group(loop).channelFactory(sockets).option(ChannelOption.TCP_NODELAY, true);
    loop.scheduleWithFixedDelay(this::closeExpired, SWEEP_SECONDS, SWEEP_SECONDS, TimeUnit.SECONDS);
  }

  private static long idleNanos(AgentConfig config) {
    return (long) (1000 * IDLE_TIME_FRACTION * config.idleCloseMicros());
  }

  private static int connectMs(AgentConfig config) {
    return (int) (config.connectTimeoutMicros() / 1000);
  }

  /** Goes by another configuration from now on; what is out goes on as it began. */
  void apply(AgentConfig next, int connections) {
    config = next;
    maxConnections = connections;
    idleTimeout.limitTo(idleNanos(next));
    connectTimeoutMillis = connectMs(next);
  }

  /** Applies a line of the server list. */
  void update(Discovery.ListedEndpoint endpoint) {
    long id = endpoint.server().id();
    BackendPool pool = pools.get(id);
    if (endpoint.server().phase() != LoadBalancer.Phase.READY) {
      remove(id);
    } else if (pool == null || !pool.address.equals(endpoint.address())) {
      remove(id); // Guards against using what leads to the address that it had before.
      pools.put(id, new BackendPool(endpoint.address(), REUSE_DELAY_NANOS));
    }
  }

  /**
   * The agent itself as a server: nothing but its answers comes from it, so connections need no
   * rest.
   */
  void addSelf(long id, InetSocketAddress address) {
    pools.put(id, new BackendPool(address, 0));
  }

  /**
   * Nothing new goes to this server, and nothing is kept for it but by the attempts that are out.
   * Guards against a request that is written when its connection comes up only after the drain was
   * told, and against memory and connections kept for servers that will never come back.
   */
  void remove(long server) {
    BackendPool pool = pools.remove(server);
    if (pool != null) {
      pool.retired = true;
      List.copyOf(pool.connecting).forEach(each -> each.end(Outcome.NEVER_SENT));
      pool.closeIdle();
    }
  }

  void closeIdle(long server) {
    BackendPool pool = pools.get(server);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  /** How many connections to servers there are. */
  int connections() {
    return connections;
  }

  /** How many servers something is kept for. */
  int size() {
    return pools.size();
  }

  private void closeExpired() {
    idleTimeout.decay(System.nanoTime());
    for (BackendPool pool : pools.values()) {
      while (!pool.idle.isEmpty() && pool.idle.peekLast().isTooOld()) {
        pool.idle.pollLast().channel().close();
      }
    }
  }

  /**
   * Makes room under the limit on sockets by closing the connection that has been idle for longest.
   */
  boolean makeRoomForConnection() {
    if (connections < maxConnections) {
      return true;
    }
    BackendConnection oldest = null;
    for (BackendPool pool : pools.values()) {
      BackendConnection last = pool.idle.peekLast();
      if (last != null && (oldest == null || last.idleSince() - oldest.idleSince() < 0)) {
        oldest = last;
      }
    }
    if (oldest == null) {
      return false;
    }
    oldest.channel().close();
    return connections < maxConnections;
  }

  /**
   * Takes the most recently used connection that has rested and had nothing to read meanwhile, or
   * none.
   */
  BackendConnection takeReusable(BackendPool pool) {
    for (BackendConnection each : List.copyOf(pool.idle)) {
      if (System.nanoTime() - each.idleSince() >= pool.reuseDelayNanos) {
        pool.idle.remove(each);
        if (!each.isTooOld() && each.channel().isIdle()) {
          return each;
        }
        each.channel().close();
      }
    }
    return null;
  }

  /** Sends a request; a time-out of 0 is none. The result comes later, exactly once. */
  BackendAttempt send(
      long server, OutgoingRequest request, long timeoutMicros, Consumer<AttemptResult> onResult) {
    BackendAttempt attempt = new BackendAttempt(this, server, request, timeoutMicros, onResult);
    attempt.start();
    return attempt;
  }

  /** Asks a server for its health. */
  void probe(long server, Consumer<AttemptResult> onResult) {
    OutgoingRequest request =
        new OutgoingRequest(
            HttpMethod.GET,
            config.loadByProbe() ? "/load" : "/healthz",
            new DefaultHttpHeaders(),
            NO_BODY);
    new BackendAttempt(this, server, request, PROBE_TIMEOUT_MICROS, onResult).start();
  }

  /** Without the report of load if that was read under another configuration's fields. */
  @SuppressWarnings("ReferenceEquality") // each configuration taken over is an object of its own
  AttemptResult reported(AttemptResult result, AgentConfig readUnder) {
    return readUnder == config
        ? result
        : new AttemptResult(result.outcome(), LoadReport.NONE, result.served(), result.rejection());
  }

  EventLoop loop() {
    return loop;
  }

  AgentConfig config() {
    return config;
  }

  RequestStatistics statistics() {
    return statistics;
  }

  Bootstrap bootstrap() {
    return bootstrap;
  }

  IdleConnectionTimeout idleTimeout() {
    return idleTimeout;
  }

  int connectTimeoutMillis() {
    return connectTimeoutMillis;
  }

  /** The pool of a server, or null if none is kept. */
  BackendPool pool(long server) {
    return pools.get(server);
  }

  void connectionOpened() {
    connections++;
  }

  void connectionClosed() {
    connections--;
  }
}
