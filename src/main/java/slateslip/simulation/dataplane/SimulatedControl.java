package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import slateslip.configuration.RoutingTable;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.quota.QuotaAllocator;
import slateslip.routing.RouterInput;
import slateslip.simulation.EventQueue;

/**
 * Simulates the control plane: sends the routing table, the backends and the quota allocations to
 * the data planes.
 */
final class SimulatedControl {
  private static final long MIN_DELAY_MICROS = 2_000;
  private static final long MAX_DELAY_MICROS = 50_000;
  private static final long ALLOCATOR_EPOCH = 1;
  private static final long ALLOCATION_PERIOD_MICROS = 200_000;
  private static final long MAX_ACKNOWLEDGEMENT_MICROS = 400_000;

  /** Session timeout of a backend: three missed heartbeats. */
  private static final long SESSION_TIMEOUT_MICROS = 3_600_000;

  private final EventQueue loop;
  private final RoutingTable table;
  private final SplittableRandom random;
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final Map<String, SimulatedBackend> byId = new HashMap<>();
  private final Map<String, BackendSession> sessions = new LinkedHashMap<>();
  private final List<DataPlaneHost> hosts = new ArrayList<>();
  private final Map<DataPlaneHost, Long> lastDelivery = new HashMap<>();
  private final QuotaAllocator allocator;

  SimulatedControl(WorldPlan plan, EventQueue loop, RoutingTable table) {
    this.loop = loop;
    this.table = table;
    this.random = new SplittableRandom(plan.seed() ^ 0x4354_524cL);
    this.allocator =
        new QuotaAllocator(
            ALLOCATOR_EPOCH, true, plan.bounds().quotaWindowMicros(), loop.nowMicros());
  }

  void add(SimulatedBackend backend) {
    backends.add(backend);
    register(backend);
  }

  List<SimulatedBackend> backends() {
    return backends;
  }

  /** Returns the machine on which a backend instance runs or ran. */
  SimulatedBackend backend(String id) {
    return byId.get(id);
  }

  private void register(SimulatedBackend backend) {
    byId.put(backend.id(), backend);
    sessions.put(backend.id(), backend.session());
  }

  /** Sends the complete state to a data plane that has just started. */
  void attach(DataPlaneHost host) {
    if (!hosts.contains(host)) {
      hosts.add(host);
    }
    deliver(host, new RouterInput.TableChanged(table), none -> {});
    deliver(host, new RouterInput.BackendsChanged(List.copyOf(sessions.values())), none -> {});
  }

  /**
   * Allocates the quotas periodically among the data planes that report, until {@code endMicros}.
   */
  void startQuotaAllocation(long endMicros) {
    for (DataPlaneHost host : hosts) {
      report(host);
    }
    loop.after(MAX_DELAY_MICROS, this::allocate);
    if (loop.nowMicros() < endMicros) {
      loop.after(ALLOCATION_PERIOD_MICROS, () -> startQuotaAllocation(endMicros));
    }
  }

  private void report(DataPlaneHost host) {
    if (host.condition() != DataPlaneHost.Condition.UP) {
      return;
    }
    QuotaReport report = host.quotaReport();
    int incarnation = host.incarnation();
    loop.after(
        random.nextLong(MIN_DELAY_MICROS, MAX_DELAY_MICROS),
        () ->
            allocator
                .report(loop.nowMicros(), name(host), incarnation, report)
                .ifPresent(claim -> deliver(host, claim.allocation())));
  }

  private void allocate() {
    Map<String, QuotaAllocation> byName = new HashMap<>();
    allocator
        .allocate(loop.nowMicros())
        .forEach(allocation -> byName.put(allocation.dataPlane(), allocation.allocation()));
    for (DataPlaneHost host : hosts) {
      QuotaAllocation allocation = byName.get(name(host));
      if (allocation != null) {
        deliver(host, allocation);
      }
    }
  }

  /**
   * Delivers an allocation; like a real data plane, a restarted data plane ignores an allocation
   * that was made for its previous incarnation.
   */
  private void deliver(DataPlaneHost host, QuotaAllocation allocation) {
    deliver(
        host,
        () -> {
          if (allocation.lease().incarnation() == host.incarnation()) {
            host.deliver(new RouterInput.QuotaAllocationChanged(allocation));
          }
        });
  }

  private static String name(DataPlaneHost host) {
    return "data-plane-" + host.index();
  }

  /** Registers the new incarnation of a backend. */
  void registerRestarted(SimulatedBackend backend) {
    register(backend);
    deliverToAll(done -> {});
  }

  /**
   * Announces a draining backend; acknowledges the draining once all data planes have received the
   * announcement, or after a timeout.
   */
  void announceDraining(SimulatedBackend backend, Runnable acknowledge) {
    sessions.put(backend.id(), backend.session());
    boolean[] acknowledged = {false};
    Runnable once =
        () -> {
          if (!acknowledged[0]) {
            acknowledged[0] = true;
            acknowledge.run();
          }
        };
    int[] missing = {hosts.size()};
    deliverToAll(
        done -> {
          missing[0]--;
          if (missing[0] == 0) {
            once.run();
          }
        });
    loop.after(MAX_ACKNOWLEDGEMENT_MICROS, once);
  }

  /** Removes the session of a backend instance. */
  void deregister(String id) {
    sessions.remove(id);
    deliverToAll(done -> {});
  }

  /**
   * Removes the session of a backend instance after the session timeout, because the backend
   * stopped without deregistering.
   */
  void expireSession(String id) {
    loop.after(SESSION_TIMEOUT_MICROS, () -> deregister(id));
  }

  private void deliverToAll(Consumer<DataPlaneHost> delivered) {
    List<BackendSession> all = List.copyOf(sessions.values());
    for (DataPlaneHost host : List.copyOf(hosts)) {
      deliver(host, new RouterInput.BackendsChanged(all), delivered);
    }
  }

  private void deliver(DataPlaneHost host, RouterInput input, Consumer<DataPlaneHost> delivered) {
    deliver(
        host,
        () -> {
          host.deliver(input);
          delivered.accept(host);
        });
  }

  private void deliver(DataPlaneHost host, Runnable delivery) {
    long delay = random.nextLong(MIN_DELAY_MICROS, MAX_DELAY_MICROS);
    long atMicros = Math.max(loop.nowMicros() + delay, lastDelivery.getOrDefault(host, 0L));
    lastDelivery.put(host, atMicros);
    loop.at(atMicros, delivery);
  }
}
