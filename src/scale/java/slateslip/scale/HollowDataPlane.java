package slateslip.scale;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import slateslip.dataplane.PeriodicTasks;
import slateslip.dataplane.subscription.DataPlaneIdentity;
import slateslip.dataplane.subscription.Subscription;
import slateslip.dataplane.subscription.SubscriptionClient;
import slateslip.dataplane.subscription.SubscriptionOutput;
import slateslip.distribution.QuotaReport;
import slateslip.eventloop.WakeUpCounter;

/**
 * A data plane without clients: the product's own subscription on an event loop that it shares with
 * others.
 */
final class HollowDataPlane {
  private final EventLoop loop;
  private final PeriodicTasks periodic;
  private final SubscriptionClient client;
  private final AtomicLong version = new AtomicLong();
  private final AtomicLong versionNanos = new AtomicLong();
  private final AtomicInteger backends = new AtomicInteger();

  HollowDataPlane(EventLoop loop, int number, List<String> agents, int port) {
    this.loop = loop;
    String address = "10.7." + number / 250 + "." + (1 + number % 250);
    DataPlaneIdentity identity =
        new DataPlaneIdentity("edge-" + number, 1 + number, "z" + number % 3, address);
    Subscription subscription = new Subscription(identity, agents);
    periodic = new PeriodicTasks(loop, new WakeUpCounter());
    client =
        new SubscriptionClient(
            loop, periodic, subscription, port, () -> QuotaReport.EMPTY, this::learnt);
  }

  void start() {
    loop.execute(client::start);
    periodic.start();
  }

  private void learnt(SubscriptionOutput output) {
    if (output instanceof SubscriptionOutput.Configure configure) {
      versionNanos.set(System.nanoTime());
      version.set(configure.configuration().version());
    } else if (output instanceof SubscriptionOutput.ReplaceBackends list) {
      backends.set(list.backends().size());
    }
  }

  /** Version of the configuration in force; 0 if none. */
  long version() {
    return version.get();
  }

  /** When that version came, by {@link System#nanoTime}. */
  long versionNanos() {
    return versionNanos.get();
  }

  /** Backends that it knows. */
  int backends() {
    return backends.get();
  }

  /** Bytes of messages received so far, their length fields included. */
  long receivedBytes() {
    return client.receivedBytes();
  }
}
