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

/** One data plane process: its parts, wired on one event loop that owns them all. */
public final class DataPlane {
  private static final Logger LOG = Logger.getLogger(DataPlane.class);

  /**
   * Descriptors that the settings keep for files, and those for listeners, control agents and the
   * runtime.
   */
  private static final int DESCRIPTORS_RESERVED = 264;

  /** System property with the mechanisms that an experiment switches off. */
  private static final String DISABLED_MECHANISMS = "slateslip.disabled";

  /** System property with parameters that an experiment sets, {@code name=value}. */
  private static final String PARAMETERS = "slateslip.parameters";

  /** Part of the time until a key that was taken away is refused for which a lease lasts. */
  private static final double LEASE_FRACTION = 0.9;

  /**
   * A running stream is read so often within the time in which each of its events has to be passed
   * on, so that events wait for a fraction of it at most.
   */
  private static final long POLLS_IN_PASS_TIME = 5;

  /** Where the settings name no limit. */
  private static final int DESCRIPTORS_DEFAULT = 1_024;

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
  private final CountDownLatch ended = new CountDownLatch(1);
  private final KeyLease keyLease;
  private boolean keysNeeded;
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
            settings.bounds().passMillis() / POLLS_IN_PASS_TIME,
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
            this::learnt);
    status = new StatusServer(loop, settings.readyListen(), this::isReady, this::metricsText);
    ingress =
        new ClientIngress(loop, periodic, settings.frontListen(), maxConnections(), forwarder);
    periodic.every(PeriodicTasks.TICK_MILLIS, forwarder::wakeIfDue);
  }

  /**
   * Starts a data plane; it listens when this returns.
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

  /** Shorter than the bound, for clocks that differ and a processor that is held up; 0 if none. */
  private static long leaseMillis(Bounds bounds) {
    return bounds.closed() ? (long) (LEASE_FRACTION * bounds.revokeTimeoutMillis()) : 0;
  }

  /** Connections on either side. */
  private int maxConnections() {
    int descriptors = settings.limits().maxFileDescriptors();
    int usable = descriptors > 0 ? descriptors : DESCRIPTORS_DEFAULT;
    return Math.max(1, (usable - DESCRIPTORS_RESERVED) / 2);
  }

  private static List<String> seeds(NodeSettings settings) {
    return settings.seeds().stream().map(seed -> seed.getAddress().getHostAddress()).toList();
  }

  private static long nowMicros() {
    return System.nanoTime() / 1_000;
  }

  private boolean isReady() {
    boolean mayServeKeys = !keysNeeded || keyLease.isHeld(nowMicros());
    return subscription.isReady() && mayServeKeys && !shuttingDown;
  }

  private String metricsText() {
    return MetricsText.of(
        metrics,
        forwarder.openRequests(),
        ingress.size(),
        pools.connections(),
        subscription.configurationVersion(),
        router.quotaStatus(nowMicros()));
  }

  private void learnt(SubscriptionOutput output) {
    if (output instanceof SubscriptionOutput.Configure configure) {
      configure(configure.configuration());
    } else if (output instanceof SubscriptionOutput.ListBackends list) {
      forwarder.backendsChanged(list.backends());
    } else if (output instanceof SubscriptionOutput.Share share) {
      forwarder.sharesChanged(share.shares());
    } else if (output instanceof SubscriptionOutput.ExtendKeyLease lease) {
      forwarder.keyLeaseExtended(TimeUnit.MILLISECONDS.toMicros(lease.untilMillis()));
    } else if (output instanceof SubscriptionOutput.Report report) {
      LOG.info(report.line());
    }
  }

  private void configure(FleetConfiguration configuration) {
    ingress.apply(configuration.limits());
    RoutingTable table = new RoutingTable(configuration);
    keysNeeded = table.needsKeys();
    forwarder.tableChanged(table);
    LogContext.version(configuration.version());
    LOG.infof("configuration %d in force", configuration.version());
    configuration.tenants().stream()
        .map(Tenant::name)
        .filter(name -> !HeaderText.fits(name))
        .forEach(name -> LOG.warnf("tenant not served, no header can carry its name: %s", name));
  }

  /** Takes over what may change while it runs: the control agents that the settings name. */
  public void settingsChanged(NodeSettings changed) {
    whileItRuns(() -> client.seedsChanged(seeds(changed)));
  }

  /** Signals come at any time, also when the loop has ended: there is nothing left to do then. */
  private void whileItRuns(Runnable task) {
    try {
      loop.execute(task);
    } catch (RejectedExecutionException over) {
      LOG.debug("ended already", over);
    }
  }

  /** Where clients connect. */
  public InetSocketAddress address() {
    return ingress.address();
  }

  /** Where readiness is asked. */
  public InetSocketAddress statusAddress() {
    return status.address();
  }

  /** Leaves in order, within the grace period; returns when all is done. */
  public void stop() {
    long signalNanos = System.nanoTime();
    whileItRuns(
        () -> {
          if (!shuttingDown) {
            shuttingDown = true;
            LOG.infof("leaving with %d requests open", forwarder.openRequests());
            long graceMillis = settings.bounds().gracePeriodMillis();
            new GracefulShutdown(loop, ingress, forwarder, signalNanos, graceMillis, this::end)
                .start();
          }
        });
    awaitEnd();
  }

  private void end() {
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).addListener(done -> ended.countDown());
  }

  /** Waits until it has ended. */
  public void awaitEnd() {
    try {
      ended.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
