package slateslip.dataplane.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import slateslip.configuration.HeaderText;
import slateslip.configuration.RequestPath;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Service;
import slateslip.dataplane.DataPlaneMetrics;
import slateslip.dataplane.HeaderNames;
import slateslip.dataplane.PeriodicTasks;
import slateslip.dataplane.transport.PollableSocketChannel;
import slateslip.distribution.BackendSession;
import slateslip.loadbalancer.net.IdleConnectionTimeout;
import slateslip.loadbalancer.net.InspectableSocketChannel;

/**
 * Connections to all backends, within the connection limits of the process and of each backend.
 * Confined to the event loop.
 */
public final class BackendPools {
  private static final byte[] NO_BODY = new byte[0];
  private static final long SWEEP_INTERVAL_MILLIS = 1_000;

  /**
   * Upper limit on the idle time of a connection, even if the backend states a longer keep-alive
   * timeout.
   */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

  /**
   * Fraction of an equal share of a backend's connection limit that a data plane uses. The fraction
   * is below 1 because data planes never use exactly equal shares.
   */
  private static final double SHARE_FRACTION = 0.9;

  /**
   * Number of connections to a backend that each data plane may open, even if its share of the
   * backend's connection limit is smaller.
   */
  private static final int MIN_CONNECTIONS_PER_BACKEND = 4;

  private static final int PROBE_TIMEOUT_MICROS = 1_000_000;
  private static final String DEFAULT_HEALTH_PATH = "/health";

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final int maxConnections;
  private final DataPlaneMetrics metrics;
  private final StreamPoller streamPoller;
  private final ConnectTimeEstimator connectTimes = new ConnectTimeEstimator();
  private final IdleConnectionTimeout idleTimeout =
      new IdleConnectionTimeout(MAX_IDLE_NANOS, System.nanoTime());
  private final Map<String, BackendPool> pools = new HashMap<>();
  private RoutingTable table;
  private int dataPlanes = 1;
  private int connections;

  /**
   * Creates pools without backends.
   *
   * @param maxConnections limit on the connections to all backends together
   * @param streamPollMillis interval between two reads of a running stream, in milliseconds
   * @param channelFactory creates the sockets
   */
  public BackendPools(
      EventLoop loop,
      PeriodicTasks periodic,
      int maxConnections,
      long streamPollMillis,
      DataPlaneMetrics metrics,
      ChannelFactory<PollableSocketChannel> channelFactory) {
    this.loop = loop;
    this.streamPoller = new StreamPoller(loop, metrics.wakeUps, streamPollMillis);
    this.maxConnections = maxConnections;
    this.metrics = metrics;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(channelFactory)
            .option(ChannelOption.TCP_NODELAY, true);
    periodic.every(SWEEP_INTERVAL_MILLIS, this::closeExpired);
  }

  /**
   * Applies a new routing table, which contains the connection limits and health paths of services.
   */
  public void tableChanged(RoutingTable next) {
    table = next;
  }

  /** Sets the number of data planes that share the connection limit of each backend. */
  public void dataPlaneCountChanged(int count) {
    dataPlanes = Math.max(1, count);
  }

  /**
   * Applies the complete list of registered backends. Backends that are draining or missing from
   * the list receive no new requests.
   */
  public void backendsChanged(List<BackendSession> sessions) {
    Set<String> readyIds = new HashSet<>();
    for (BackendSession session : sessions) {
      if (!session.draining()) {
        readyIds.add(session.id());
        addOrReplacePool(session);
      }
    }
    for (String id : List.copyOf(pools.keySet())) {
      if (!readyIds.contains(id)) {
        pools.remove(id).retire();
      }
    }
  }

  private void addOrReplacePool(BackendSession session) {
    InetSocketAddress address = parseAddress(session.address());
    BackendPool pool = pools.get(session.id());
    if (address == null || (pool != null && pool.address.equals(address))) {
      return;
    }
    if (pool != null) {
      pool.retire();
    }
    pools.put(session.id(), new BackendPool(session.id(), session.service(), address));
  }

  private static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    try {
      String[] parts = text.substring(0, colon).split("\\.", -1);
      byte[] bytes = new byte[parts.length];
      for (int i = 0; i < parts.length; i++) {
        bytes[i] = (byte) Integer.parseInt(parts[i]);
      }
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (RuntimeException | java.net.UnknownHostException malformed) {
      return null;
    }
  }

  /** Returns the number of connections to backends that are established or being established. */
  public int connections() {
    return connections;
  }

  /**
   * Sends a request to a backend. The listener is informed of the end of the attempt later, exactly
   * once.
   */
  public BackendAttempt send(String backendId, OutgoingRequest request, AttemptListener listener) {
    BackendAttempt attempt = new BackendAttempt(this, pools.get(backendId), request, listener);
    attempt.start();
    return attempt;
  }

  /** Sends a health probe to a backend and passes the result to a callback on the event loop. */
  public void probe(String backendId, Consumer<ProbeResult> onResult) {
    BackendPool pool = pools.get(backendId);
    var headers = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "backend");
    if (HeaderText.canCarry(backendId)) {
      headers.set(HeaderNames.TARGET_INSTANCE, HeaderText.encode(backendId));
    }
    var request =
        new OutgoingRequest(
            HttpMethod.GET,
            healthPath(pool),
            headers,
            NO_BODY,
            "",
            0,
            PROBE_TIMEOUT_MICROS,
            0,
            () -> true);
    new BackendAttempt(this, pool, request, new ProbeListener(backendId, onResult)).start();
  }

  private String healthPath(BackendPool pool) {
    Service service =
        pool == null || table == null ? null : table.service(pool.service).orElse(null);
    return service == null ? DEFAULT_HEALTH_PATH : RequestPath.encode(service.healthPath());
  }

  EventLoop loop() {
    return loop;
  }

  ConnectTimeEstimator connectTimes() {
    return connectTimes;
  }

  StreamPoller streamPoller() {
    return streamPoller;
  }

  IdleConnectionTimeout idleTimeout() {
    return idleTimeout;
  }

  DataPlaneMetrics metrics() {
    return metrics;
  }

  /**
   * Starts to establish a connection. Returns null if a connection limit is reached or the process
   * has no file descriptor left.
   */
  ChannelFuture dial(BackendPool pool, BackendConnection connection, int timeoutMillis) {
    if (pool.connections >= maxConnections(pool.service) || !ensureCapacity()) {
      return null;
    }
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(connection)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
            .connect(pool.address);
    if (InspectableSocketChannel.failedToOpenSocket(connecting)) {
      return null;
    }
    metrics.dialled++;
    connections++;
    pool.connections++;
    connecting
        .channel()
        .closeFuture()
        .addListener(
            closed -> {
              connections--;
              pool.connections--;
            });
    return connecting;
  }

  private int maxConnections(String serviceName) {
    Service service = table == null ? null : table.service(serviceName).orElse(null);
    if (service == null || service.maxConnections() <= 0) {
      return maxConnections;
    }
    return Math.max(
        MIN_CONNECTIONS_PER_BACKEND,
        (int) (SHARE_FRACTION * service.maxConnections() / dataPlanes));
  }

  /**
   * Returns whether the process may open one more connection. At the limit, the connection that has
   * been idle for the longest time is closed first.
   */
  private boolean ensureCapacity() {
    if (connections < maxConnections) {
      return true;
    }
    BackendConnection oldest = null;
    for (BackendPool pool : pools.values()) {
      BackendConnection last = pool.longestIdle();
      if (last != null && (oldest == null || last.idleNanos() > oldest.idleNanos())) {
        oldest = last;
      }
    }
    if (oldest == null) {
      return false;
    }
    oldest.pool.removeIdle(oldest);
    oldest.channel.close();
    return connections < maxConnections;
  }

  private void closeExpired() {
    idleTimeout.decay(System.nanoTime());
    for (BackendPool pool : pools.values()) {
      pool.closeExpired(idleTimeout.limitNanos());
    }
  }
}
