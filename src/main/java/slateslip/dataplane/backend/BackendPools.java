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
 * The connections to all backends, within the limits of the process and of each backend. On the
 * event loop.
 */
public final class BackendPools {
  private static final byte[] NO_BODY = new byte[0];
  private static final long SWEEP_MILLIS = 1_000;

  /** However long backends keep idle connections, none is kept for longer. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

  /**
   * Part of its even share of a backend's connections that a data plane takes: shares are never
   * even.
   */
  private static final double SHARE_PART = 0.9;

  /** However many data planes there are, each may have so many connections to a backend. */
  private static final int MIN_CONNECTIONS = 4;

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
  private int agents = 1;
  private int connections;

  /**
   * No backend is known yet.
   *
   * @param streamPollMillis between two reads of a running stream
   * @param sockets makes them
   */
  public BackendPools(
      EventLoop loop,
      PeriodicTasks periodic,
      int maxConnections,
      long streamPollMillis,
      DataPlaneMetrics metrics,
      ChannelFactory<PollableSocketChannel> sockets) {
    this.loop = loop;
    this.streamPoller = new StreamPoller(loop, metrics.wakeUps, streamPollMillis);
    this.maxConnections = maxConnections;
    this.metrics = metrics;
    this.bootstrap =
        new Bootstrap().group(loop).channelFactory(sockets).option(ChannelOption.TCP_NODELAY, true);
    periodic.every(SWEEP_MILLIS, this::closeOld);
  }

  /** The configuration that names services' limits and health paths. */
  public void tableChanged(RoutingTable next) {
    table = next;
  }

  /** How many data planes share what a backend takes. */
  public void agentsChanged(int count) {
    agents = Math.max(1, count);
  }

  /** The whole list of registered backends; those that drain or are missing get nothing new. */
  public void backendsChanged(List<BackendSession> sessions) {
    Set<String> ready = new HashSet<>();
    for (BackendSession session : sessions) {
      if (!session.draining()) {
        ready.add(session.id());
        listed(session);
      }
    }
    for (String id : List.copyOf(pools.keySet())) {
      if (!ready.contains(id)) {
        pools.remove(id).retire();
      }
    }
  }

  private void listed(BackendSession session) {
    InetSocketAddress address = address(session.address());
    BackendPool pool = pools.get(session.id());
    if (address == null || (pool != null && pool.address.equals(address))) {
      return;
    }
    if (pool != null) {
      pool.retire();
    }
    pools.put(session.id(), new BackendPool(session.id(), session.service(), address));
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    try {
      String[] parts = text.substring(0, colon).split("\\.", -1);
      byte[] bytes = new byte[parts.length];
      for (int i = 0; i < parts.length; i++) {
        bytes[i] = (byte) Integer.parseInt(parts[i]);
      }
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (RuntimeException | java.net.UnknownHostException unreadable) {
      return null;
    }
  }

  /** How many connections there are. */
  public int connections() {
    return connections;
  }

  /** Sends a request to a backend; the listener is told later of its end, exactly once. */
  public BackendAttempt send(String backendId, OutgoingRequest request, AttemptListener listener) {
    BackendAttempt attempt = new BackendAttempt(this, pools.get(backendId), request, listener);
    attempt.start();
    return attempt;
  }

  /** Asks a backend for its health. */
  public void probe(String backendId, Consumer<ProbeResult> then) {
    BackendPool pool = pools.get(backendId);
    var headers = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "backend");
    if (HeaderText.fits(backendId)) {
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
    new BackendAttempt(this, pool, request, new ProbeListener(backendId, then)).start();
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

  /** Begins to connect; null if there is no room for one more connection. */
  ChannelFuture dial(BackendPool pool, BackendConnection connection, int timeoutMillis) {
    if (pool.connections >= maxConnections(pool.service) || !hasCapacity()) {
      return null;
    }
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(connection)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
            .connect(pool.address);
    if (InspectableSocketChannel.noSocket(connecting)) {
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
    return Math.max(MIN_CONNECTIONS, (int) (SHARE_PART * service.maxConnections() / agents));
  }

  /**
   * Makes room under the limit of the process by closing the connection that has been idle for
   * longest.
   */
  private boolean hasCapacity() {
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
    oldest.pool.forget(oldest);
    oldest.channel.close();
    return connections < maxConnections;
  }

  private void closeOld() {
    idleTimeout.decay(System.nanoTime());
    for (BackendPool pool : pools.values()) {
      pool.closeOld(idleTimeout.limitNanos());
    }
  }
}
