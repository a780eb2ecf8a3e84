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
 * The connection pools of all backends, and the attempts and probes that use them. A connection
 * carries one request at a time. Confined to the agent's event loop; every result is delivered by a
 * task on that loop, never within the call that causes it.
 */
final class BackendConnections {
  static final String REQUEST_TIMEOUT = "Request-Timeout-Ms";
  static final int BODY_MAX = 64 << 10;

  static final byte[] NO_BODY = new byte[0];

  /** The fraction of the backends' idle timeout after which a pooled connection is not reused. */
  private static final double IDLE_TIME_FRACTION = 0.75;

  private static final long SWEEP_SECONDS = 1;

  /**
   * How long a connection remains unused after a response. A duplicate response or garbage right
   * behind the response arrives within this time; without the delay these bytes would be taken for
   * the response to the next request.
   */
  private static final long REUSE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  private static final long PROBE_TIMEOUT_MICROS = 250_000;

  private final EventLoop loop;
  private AgentConfig config;
  private final RequestStatistics statistics;
  private final Bootstrap bootstrap;
  private final IdleConnectionTimeout idleTimeout;
  private int maxConnections;

  /** The timeout for connecting to a backend, in milliseconds. */
  private int connectTimeoutMillis;

  private final Map<Long, BackendPool> pools = new HashMap<>();
  private int connections;

  BackendConnections(
      EventLoop loop, AgentConfig config, int maxConnections, RequestStatistics statistics) {
    this(loop, config, maxConnections, statistics, InspectableSocketChannel::new);
  }

  /** Creates the pools with sockets from the given factory, for tests. */
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

  /** Applies another configuration. Attempts in flight continue under the previous one. */
  void apply(AgentConfig next, int connections) {
    config = next;
    maxConnections = connections;
    idleTimeout.setMaxNanos(idleNanos(next));
    connectTimeoutMillis = connectMs(next);
  }

  /**
   * Creates, replaces or removes the pool of a backend according to its entry in the server list.
   */
  void update(Discovery.ListedEndpoint endpoint) {
    long id = endpoint.server().id();
    BackendPool pool = pools.get(id);
    if (endpoint.server().phase() != LoadBalancer.Phase.READY) {
      remove(id);
    } else if (pool == null || !pool.address.equals(endpoint.address())) {
      remove(id); // Connections to the previous address must not be used any longer.
      pools.put(id, new BackendPool(endpoint.address(), REUSE_DELAY_NANOS));
    }
  }

  /**
   * Adds the agent itself as a backend, for the warm-up. Its connections have no reuse delay,
   * because only the agent's own responses arrive on them.
   */
  void addSelf(long id, InetSocketAddress address) {
    pools.put(id, new BackendPool(address, 0));
  }

  /**
   * Removes the pool of a backend. Attempts that still wait for a connection end with {@link
   * Outcome#NEVER_SENT}; attempts in flight continue. Otherwise a request whose connection comes up
   * after the backend started draining would still be sent, and memory and connections would be
   * kept for backends that never return.
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

  /** Returns the number of connections to backends, including those that are not connected yet. */
  int connections() {
    return connections;
  }

  /** Returns the number of backends that have a connection pool. */
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
   * Returns whether another connection may be opened. At the limit on sockets this method closes
   * the connection that has been idle for longest; returns false if no connection is idle or the
   * closed one still counts.
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
   * Takes the most recently used idle connection whose reuse delay has passed and on which nothing
   * has arrived meanwhile; returns null if there is none.
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

  /**
   * Sends a request to a backend. The result is delivered later, exactly once. A timeout of 0
   * microseconds means that there is none.
   */
  BackendAttempt send(
      long server, OutgoingRequest request, long timeoutMicros, Consumer<AttemptResult> onResult) {
    BackendAttempt attempt = new BackendAttempt(this, server, request, timeoutMicros, onResult);
    attempt.start();
    return attempt;
  }

  /** Sends a health check to a backend and delivers the result later, exactly once. */
  void probe(long server, Consumer<AttemptResult> onResult) {
    OutgoingRequest request =
        new OutgoingRequest(
            HttpMethod.GET,
            config.loadByProbe() ? "/load" : "/healthz",
            new DefaultHttpHeaders(),
            NO_BODY);
    new BackendAttempt(this, server, request, PROBE_TIMEOUT_MICROS, onResult).start();
  }

  /**
   * Removes the load report from a result if another configuration has come into force since the
   * report was read, because the load fields may differ.
   */
  // Each configuration that comes into force is a distinct object.
  @SuppressWarnings("ReferenceEquality")
  AttemptResult withoutStaleLoad(AttemptResult result, AgentConfig parsedWith) {
    return parsedWith == config
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

  /** Returns the connection pool of a backend, or null if there is none. */
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
