package slateslip.dataplane;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import slateslip.configuration.FleetConfiguration;
import slateslip.configuration.HeaderText;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Tenant;
import slateslip.dataplane.backend.BackendPools;
import slateslip.dataplane.forwarding.Forwarder;
import slateslip.dataplane.ingress.ClientIngress;
import slateslip.dataplane.status.MetricsText;
import slateslip.dataplane.status.StatusServer;
import slateslip.dataplane.subscription.DataPlaneIdentity;
import slateslip.dataplane.subscription.Subscription;
import slateslip.dataplane.subscription.SubscriptionClient;
import slateslip.dataplane.subscription.SubscriptionOutput;
import slateslip.dataplane.transport.PollableSocketChannel;
import slateslip.eventloop.CountingIoHandler;
import slateslip.logging.LogContext;
import slateslip.routing.FleetRouter;
import slateslip.routing.KeyLease;
import slateslip.routing.RouterSettings;
import slateslip.routing.policy.RoutingPolicy;
import slateslip.routing.quota.QuotaBounds;
import slateslip.routing.retry.RetryBounds;
import slateslip.settings.Bounds;
import slateslip.settings.NodeSettings;

/**
 * A data plane process: creates and connects its components, which are all confined to one event
 * loop.
 */
public final class DataPlane {
  private static final Logger LOG = Logger.getLogger(DataPlane.class);

  /**
   * File descriptors that are not available to client and backend connections: those that the
   * settings reserve for files, and those of listeners, control-agent connections and the runtime.
   */
  private static final int RESERVED_DESCRIPTORS = 264;

  /** System property that lists the routing mechanisms that an experiment disables. */
  private static final String DISABLED_MECHANISMS = "slateslip.disabled";

  /** System property with the routing parameters that an experiment sets, as {@code name=value}. */
  private static final String PARAMETERS = "slateslip.parameters";

  /**
   * Duration of a key lease, as a fraction of the time within which a revoked key has to be
   * refused.
   */
  private static final double LEASE_FRACTION = 0.9;

  /**
   * Number of times that a running stream is read within the time limit for forwarding an event, so
   * that an event waits for a fraction of this limit at most.
   */
  private static final long POLLS_PER_FORWARDING_LIMIT = 5;

  /** Number of file descriptors that is assumed if the settings contain no limit. */
  private static final int DEFAULT_DESCRIPTORS = 1_024;

  private final NodeSettings settings;
  private final DataPlaneMetrics metrics = new DataPlaneMetrics();
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final PeriodicTasks periodic;
  private final BackendPools pools;
  private final FleetRouter router;
  private final Forwarder forwarder;
  private final ClientIngress ingress;
  private final StatusServer status;
  private final Subscription subscription;
  private final SubscriptionClient client;
  private final CountDownLatch terminated = new CountDownLatch(1);
  private final KeyLease keyLease;
  private boolean keysRequired;
  private boolean shuttingDown;

  private DataPlane(NodeSettings settings) throws IOException {
    this.settings = settings;
    SplittableRandom random = new SplittableRandom();
    group = new MultiThreadIoEventLoopGroup(1, CountingIoHandler.newFactory(metrics.wakeUps));
    loop = group.next();
    periodic = new PeriodicTasks(loop, metrics.wakeUps);
    pools =
        new BackendPools(
            loop,
            periodic,
            maxConnections(),
            settings.bounds().maxEventDelayMillis() / POLLS_PER_FORWARDING_LIMIT,
            metrics,
            PollableSocketChannel::new);
    keyLease = settings.bounds().closed() ? KeyLease.required() : KeyLease.notRequired();
    router = new FleetRouter(routerSettings(settings, random.nextLong()));
    forwarder =
        new Forwarder(
            loop, router, DataPlane::nowMicros, pools, metrics, random.nextLong(), keyLease);
    DataPlaneIdentity identity =
        new DataPlaneIdentity(
            settings.node(), random.nextLong(), settings.zone(), settings.ip().getHostAddress());
    subscription = new Subscription(identity, seeds(settings), leaseMillis(settings.bounds()));
    client =
        new SubscriptionClient(
            loop,
            periodic,
            subscription,
            settings.ports().first(),
            () -> router.quotaReport(nowMicros()),
            this::applyOutput);
    status = new StatusServer(loop, settings.readyListen(), this::isReady, this::metricsText);
    ingress =
        new ClientIngress(loop, periodic, settings.frontListen(), maxConnections(), forwarder);
    periodic.every(PeriodicTasks.TICK_MILLIS, forwarder::wakeIfDue);
  }

  /**
   * Starts a data plane, which is listening when this method returns.
   *
   * @throws IOException if an address cannot be listened on
   */
  public static DataPlane start(NodeSettings settings) throws IOException {
    DataPlane dataPlane = new DataPlane(settings);
    dataPlane.loop.execute(dataPlane.client::start);
    dataPlane.periodic.start();
    LOG.infof("%s listens on %s", settings.node(), dataPlane.ingress.address());
    return dataPlane;
  }

  private static RouterSettings routerSettings(NodeSettings settings, long seed) {
    Bounds bounds = settings.bounds();
    RetryBounds retries =
        new RetryBounds(
            bounds.retryBudgetRatio(),
            TimeUnit.MILLISECONDS.toMicros(bounds.retryWindowMillis()),
            bounds.retryBudgetSlack());
    QuotaBounds quotas =
        new QuotaBounds(
            TimeUnit.MILLISECONDS.toMicros(bounds.quotaWindowMillis()),
            bounds.quotaOvershoot(),
            bounds.quotaSlack());
    RoutingPolicy policy =
        RoutingPolicy.of(
            System.getProperty(DISABLED_MECHANISMS, ""), System.getProperty(PARAMETERS, ""));
    return new RouterSettings(
        settings.zone(),
        seed,
        retries,
        quotas,
        policy,
        bounds.closed(),
        TimeUnit.MILLISECONDS.toMicros(settings.heartbeatMillis()));
  }

  /**
   * Returns the duration of a key lease in milliseconds, or 0 if the fleet needs no leases. The
   * lease is shorter than the bound on revocation to allow for clock differences and for delays of
   * this process.
   */
  private static long leaseMillis(Bounds bounds) {
    return bounds.closed() ? (long) (LEASE_FRACTION * bounds.revokeTimeoutMillis()) : 0;
  }

  /**
   * Returns the maximum number of client connections, which is also the maximum number of backend
   * connections.
   */
  private int maxConnections() {
    int descriptors = settings.limits().maxFileDescriptors();
    int available = descriptors > 0 ? descriptors : DEFAULT_DESCRIPTORS;
    return Math.max(1, (available - RESERVED_DESCRIPTORS) / 2);
  }

  private static List<String> seeds(NodeSettings settings) {
    return settings.seeds().stream().map(seed -> seed.getAddress().getHostAddress()).toList();
  }

  private static long nowMicros() {
    return System.nanoTime() / 1_000;
  }

  private boolean isReady() {
    boolean mayServeKeys = !keysRequired || keyLease.isHeld(nowMicros());
    return subscription.isReady() && mayServeKeys && !shuttingDown;
  }

  private String metricsText() {
    return MetricsText.of(
        metrics,
        forwarder.openRequests(),
        ingress.connectionCount(),
        pools.connections(),
        subscription.configurationVersion(),
        router.quotaStatus(nowMicros()));
  }

  private void applyOutput(SubscriptionOutput output) {
    if (output instanceof SubscriptionOutput.Configure configure) {
      configure(configure.configuration());
    } else if (output instanceof SubscriptionOutput.ReplaceBackends replace) {
      forwarder.backendsChanged(replace.backends());
    } else if (output instanceof SubscriptionOutput.ApplyAllocation apply) {
      forwarder.quotaAllocationChanged(apply.allocation());
    } else if (output instanceof SubscriptionOutput.ExtendKeyLease lease) {
      forwarder.keyLeaseExtended(TimeUnit.MILLISECONDS.toMicros(lease.untilMillis()));
    } else if (output instanceof SubscriptionOutput.LogLine logLine) {
      LOG.info(logLine.line());
    }
  }

  private void configure(FleetConfiguration configuration) {
    ingress.apply(configuration.limits());
    RoutingTable table = new RoutingTable(configuration);
    keysRequired = table.requiresKeys();
    forwarder.tableChanged(table);
    LogContext.version(configuration.version());
    LOG.infof("configuration %d in force", configuration.version());
    configuration.tenants().stream()
        .map(Tenant::name)
        .filter(name -> !HeaderText.canCarry(name))
        .forEach(name -> LOG.warnf("tenant not served, no header can carry its name: %s", name));
  }

  /**
   * Applies the settings that may change at run time, which are the addresses of the control
   * agents.
   */
  public void settingsChanged(NodeSettings changed) {
    executeUnlessTerminated(() -> client.seedsChanged(seeds(changed)));
  }

  /**
   * Runs a task on the event loop, or does nothing if the loop has terminated. A signal may arrive
   * after that; no work is left then.
   */
  private void executeUnlessTerminated(Runnable task) {
    try {
      loop.execute(task);
    } catch (RejectedExecutionException rejected) {
      LOG.debug("ignored a signal after the event loop has terminated", rejected);
    }
  }

  /** Returns the address at which clients connect. */
  public InetSocketAddress address() {
    return ingress.address();
  }

  /** Returns the address that serves readiness and metrics. */
  public InetSocketAddress statusAddress() {
    return status.address();
  }

  /** Shuts down gracefully within the grace period, and returns when the shutdown is complete. */
  public void stop() {
    long signalNanos = System.nanoTime();
    executeUnlessTerminated(
        () -> {
          if (!shuttingDown) {
            shuttingDown = true;
            LOG.infof("leaving with %d requests open", forwarder.openRequests());
            long graceMillis = settings.bounds().gracePeriodMillis();
            new GracefulShutdown(
                    loop, ingress, forwarder, signalNanos, graceMillis, this::shutDownEventLoop)
                .start();
          }
        });
    awaitTermination();
  }

  private void shutDownEventLoop() {
    group
        .shutdownGracefully(0, 200, TimeUnit.MILLISECONDS)
        .addListener(done -> terminated.countDown());
  }

  /** Waits until the event loop has terminated, or until the calling thread is interrupted. */
  public void awaitTermination() {
    try {
      terminated.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
