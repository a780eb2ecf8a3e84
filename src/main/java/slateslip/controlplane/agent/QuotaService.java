package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneDemand;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneQuota;
import slateslip.distribution.quota.QuotaAllocator;
import slateslip.distribution.quota.QuotaAllocator.DataPlaneAllocation;

/**
 * Carries the demand of data planes to the agent that divides the fleet-wide limits, and their
 * shares back. Confined to the event loop.
 */
final class QuotaService {
  /** A new allocator listens for this long first, so that it divides among all data planes. */
  private static final long WARMUP_MICROS = 800_000;

  /**
   * Without tenants an allocation says only how many data planes there are, and is made in one of
   * so many ticks.
   */
  private static final long TICKS_WITHOUT_TENANTS = 4;

  /** A data plane that has not reported for this long has ended. */
  private static final long DATA_PLANE_TIMEOUT_MICROS = 10_000_000;

  private final String self;
  private final Scheduler scheduler;
  private final PeerLinks links;
  private final DataPlaneSubscriptions subscribers;
  private final AllocatorRole allocatorRole;
  private final Map<String, DataPlaneDemand> pendingDemand = new LinkedHashMap<>();
  private QuotaAllocator allocator;
  private long allocatorStartedMicros;
  private long ticks;

  /** The data planes that report to this allocator: where from, and when last. */
  private final Map<String, DemandSource> demandSources = new HashMap<>();

  /** Says which agent divides the limits. */
  interface AllocatorRole {
    /** Its IPv4 address. */
    String address();

    /** Whether that is this agent, and nobody else can hold the role. */
    boolean isSelf();
  }

  private record DemandSource(String peer, long reportedMicros) {}

  QuotaService(
      String self,
      Scheduler scheduler,
      PeerLinks links,
      DataPlaneSubscriptions subscribers,
      AllocatorRole allocatorRole) {
    this.self = self;
    this.scheduler = scheduler;
    this.links = links;
    this.subscribers = subscribers;
    this.allocatorRole = allocatorRole;
  }

  /** A data plane at this agent tells its demand. */
  void demandReceived(DataPlaneMessage.Subscribe from, DataPlaneMessage.Demand demand) {
    pendingDemand.put(
        from.node(), new DataPlaneDemand(from.node(), from.incarnation(), demand.tenants()));
  }

  /** Another agent tells the demand of its data planes. */
  void demandReportReceived(String peer, ControlPeerMessage.DemandReport report) {
    if (allocatorRole.isSelf()) {
      report.dataPlanes().forEach(demand -> report(peer, demand));
    }
  }

  /** The allocator tells the shares of data planes here. */
  void allocationsReceived(ControlPeerMessage.QuotaAllocations allocations) {
    allocations.dataPlanes().forEach(this::deliver);
  }

  /** Sends demand on and, at the allocator, divides. */
  void tick() {
    updateRole();
    ticks++;
    List<DataPlaneDemand> report = List.copyOf(pendingDemand.values());
    pendingDemand.clear();
    if (allocatorRole.isSelf()) {
      report.forEach(demand -> report(self, demand));
      if (allocator.hasTenants() || ticks % TICKS_WITHOUT_TENANTS == 0) {
        allocate();
      }
    } else if (!report.isEmpty()) {
      links.send(allocatorRole.address(), new ControlPeerMessage.DemandReport(report));
    }
  }

  /** Whoever takes the role begins without memory: what was assigned before is outdated soon. */
  private void updateRole() {
    if (!allocatorRole.isSelf()) {
      allocator = null;
      demandSources.clear();
    } else if (allocator == null) {
      allocator = new QuotaAllocator();
      allocatorStartedMicros = scheduler.nowMicros();
    }
  }

  private void report(String peer, DataPlaneDemand demand) {
    if (allocator == null) {
      return;
    }
    long now = scheduler.nowMicros();
    demandSources.put(demand.node(), new DemandSource(peer, now));
    allocator.report(now, demand.node(), demand.incarnation(), demand.tenants());
  }

  private void allocate() {
    long now = scheduler.nowMicros();
    if (now - allocatorStartedMicros < WARMUP_MICROS) {
      return;
    }
    demandSources.forEach(
        (node, source) -> {
          if (now - source.reportedMicros > DATA_PLANE_TIMEOUT_MICROS) {
            allocator.removed(now, node);
          }
        });
    demandSources
        .values()
        .removeIf(source -> now - source.reportedMicros > DATA_PLANE_TIMEOUT_MICROS);
    Map<String, List<DataPlaneQuota>> byPeer = new LinkedHashMap<>();
    for (DataPlaneAllocation allocation : allocator.allocate(now)) {
      DemandSource source = demandSources.get(allocation.dataPlane());
      if (source != null) {
        byPeer
            .computeIfAbsent(source.peer, key -> new ArrayList<>())
            .add(new DataPlaneQuota(allocation.dataPlane(), allocation.shares()));
      }
    }
    byPeer.forEach(this::send);
  }

  private void send(String peer, List<DataPlaneQuota> quotas) {
    if (peer.equals(self)) {
      quotas.forEach(this::deliver);
    } else {
      links.send(peer, new ControlPeerMessage.QuotaAllocations(quotas));
    }
  }

  private void deliver(DataPlaneQuota allocations) {
    subscribers.sendTo(
        allocations.node(), new ControlPlaneMessage.QuotaUpdate(allocations.shares()));
  }
}
