package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.exchange.ControlPeerMessage;
import slateslip.distribution.exchange.ControlPeerMessage.DataPlaneDemand;
import slateslip.distribution.exchange.ControlPeerMessage.DataPlaneQuota;
import slateslip.distribution.quota.QuotaAllocator;
import slateslip.distribution.quota.QuotaAllocator.DataPlaneAllocation;

/**
 * Carries the demand of data planes to the agent that divides the fleet-wide limits, and their
 * shares back. Confined to the event loop.
 */
final class QuotaService {
  /** A new allocator listens for this long first, so that it divides among all data planes. */
  private static final long LISTEN_MICROS = 800_000;

  /** A data plane that has not reported for this long has ended. */
  private static final long ENDED_MICROS = 10_000_000;

  private final String self;
  private final Scheduler scheduler;
  private final PeerLinks links;
  private final DataPlaneSubscriptions subscribers;
  private final AllocatorRole holder;
  private final Map<String, DataPlaneDemand> unsent = new LinkedHashMap<>();
  private QuotaAllocator allocator;
  private long allocatorSinceMicros;

  /** The data planes that report to this allocator: where from, and when last. */
  private final Map<String, DemandSource> origins = new HashMap<>();

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
      AllocatorRole holder) {
    this.self = self;
    this.scheduler = scheduler;
    this.links = links;
    this.subscribers = subscribers;
    this.holder = holder;
  }

  /** A data plane at this agent tells its demand. */
  void demand(DataPlaneMessage.Subscribe from, DataPlaneMessage.Demand demand) {
    unsent.put(from.node(), new DataPlaneDemand(from.node(), from.incarnation(), demand.tenants()));
  }

  /** Another agent tells the demand of its data planes. */
  void demands(String peer, ControlPeerMessage.DemandReport demands) {
    if (holder.isSelf()) {
      demands.dataPlanes().forEach(demand -> report(peer, demand));
    }
  }

  /** The allocator tells the shares of data planes here. */
  void allotted(ControlPeerMessage.QuotaAllocations allotted) {
    allotted.dataPlanes().forEach(this::deliver);
  }

  /** Sends demand on and, at the allocator, divides. */
  void tick() {
    takeRole();
    List<DataPlaneDemand> demands = List.copyOf(unsent.values());
    unsent.clear();
    if (holder.isSelf()) {
      demands.forEach(demand -> report(self, demand));
      divide();
    } else if (!demands.isEmpty()) {
      links.send(holder.address(), new ControlPeerMessage.DemandReport(demands));
    }
  }

  /** Whoever takes the role begins without memory: what was told before is outdated soon. */
  private void takeRole() {
    if (!holder.isSelf()) {
      allocator = null;
      origins.clear();
    } else if (allocator == null) {
      allocator = new QuotaAllocator();
      allocatorSinceMicros = scheduler.nowMicros();
    }
  }

  private void report(String peer, DataPlaneDemand demand) {
    if (allocator == null) {
      return;
    }
    long now = scheduler.nowMicros();
    origins.put(demand.node(), new DemandSource(peer, now));
    allocator.report(now, demand.node(), demand.incarnation(), demand.tenants());
  }

  private void divide() {
    long now = scheduler.nowMicros();
    if (now - allocatorSinceMicros < LISTEN_MICROS) {
      return;
    }
    origins.forEach(
        (node, origin) -> {
          if (now - origin.reportedMicros > ENDED_MICROS) {
            allocator.removed(now, node);
          }
        });
    origins.values().removeIf(origin -> now - origin.reportedMicros > ENDED_MICROS);
    Map<String, List<DataPlaneQuota>> byPeer = new LinkedHashMap<>();
    for (DataPlaneAllocation allocation : allocator.allocate(now)) {
      DemandSource origin = origins.get(allocation.dataPlane());
      if (origin != null) {
        byPeer
            .computeIfAbsent(origin.peer, key -> new ArrayList<>())
            .add(new DataPlaneQuota(allocation.dataPlane(), allocation.shares()));
      }
    }
    byPeer.forEach(this::send);
  }

  private void send(String peer, List<DataPlaneQuota> shares) {
    if (peer.equals(self)) {
      shares.forEach(this::deliver);
    } else {
      links.send(peer, new ControlPeerMessage.QuotaAllocations(shares));
    }
  }

  private void deliver(DataPlaneQuota allotted) {
    subscribers.sendTo(allotted.node(), new ControlPlaneMessage.QuotaUpdate(allotted.shares()));
  }
}
