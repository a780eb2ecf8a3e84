package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jboss.logging.Logger;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneDemand;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneQuota;
import slateslip.distribution.quota.QuotaAllocator;
import slateslip.distribution.quota.QuotaAllocator.DataPlaneAllocation;
import slateslip.distribution.quota.QuotaAllocatorStatus;

/**
 * Forwards demand reports of data planes to the agent that allocates the fleet-wide quotas, and
 * forwards allocations from that agent to the data planes. Confined to the event loop.
 */
final class QuotaService {
  private static final Logger LOG = Logger.getLogger(QuotaService.class);

  /**
   * Number of ticks between two allocations while no data plane has reported a tenant. Such an
   * allocation carries only the number of data planes.
   */
  private static final long TICKS_WITHOUT_TENANTS = 4;

  /**
   * Delay between the first report of waiting requests and the allocation for them. One allocation
   * serves all data planes that report waiting requests within this time.
   */
  private static final long WAITING_BATCH_MICROS = 20_000;

  private final String self;
  private final Scheduler scheduler;
  private final PeerLinks links;
  private final DataPlaneSubscriptions subscribers;
  private final AllocatorRole allocatorRole;
  private final long windowMicros;
  private final Map<String, DataPlaneDemand> pendingReports = new LinkedHashMap<>();
  private QuotaAllocator allocator;
  private AllocatorTerm allocatorTerm;
  private boolean allocating;
  private boolean batchScheduled;
  private boolean completionLogged;
  private long ticks;

  /**
   * Maps the name of each reporting data plane to the IPv4 address of the agent that the data plane
   * is connected to.
   */
  private final Map<String, String> peerOfDataPlane = new HashMap<>();

  /** Determines which agent allocates the quotas. */
  interface AllocatorRole {
    /** Returns the IPv4 address of the agent that allocates the quotas. */
    String address();

    /** Returns whether this agent allocates the quotas and no other agent can hold this role. */
    boolean isSelf();

    /** Returns the term in which this agent allocates the quotas. */
    AllocatorTerm term();
  }

  QuotaService(
      String self,
      Scheduler scheduler,
      PeerLinks links,
      DataPlaneSubscriptions subscribers,
      AllocatorRole allocatorRole,
      long windowMicros) {
    this.self = self;
    this.scheduler = scheduler;
    this.links = links;
    this.subscribers = subscribers;
    this.allocatorRole = allocatorRole;
    this.windowMicros = windowMicros;
  }

  /**
   * Handles a demand report of a data plane that is connected to this agent. The report is
   * forwarded at once if requests wait at the data plane, otherwise at the next tick.
   */
  void demandReceived(DataPlaneMessage.Subscribe from, DataPlaneMessage.Demand demand) {
    DataPlaneDemand report = new DataPlaneDemand(from.node(), from.incarnation(), demand.report());
    pendingReports.put(from.node(), report);
    if (demand.report().waiting()) {
      flushReports();
    }
  }

  /** Handles the demand reports of data planes that are connected to another agent. */
  void demandReportReceived(String peer, ControlPeerMessage.DemandReport report) {
    updateRole();
    report.dataPlanes().forEach(demand -> report(peer, demand));
  }

  /** Delivers allocations to data planes that are connected to this agent. */
  void allocationsReceived(ControlPeerMessage.QuotaAllocations allocations) {
    allocations.dataPlanes().forEach(this::deliver);
  }

  /** Forwards pending reports and, if this agent is the allocator, allocates the quotas. */
  void tick() {
    ticks++;
    flushReports();
    if (allocating && (allocator.hasTenants() || ticks % TICKS_WITHOUT_TENANTS == 0)) {
      send(allocator.allocate(scheduler.nowMicros()));
      logCompletion();
    }
  }

  /**
   * Logs once that the allocator knows all data planes that hold quotas. Until then the allocator
   * only moves quotas between known data planes.
   */
  private void logCompletion() {
    if (!completionLogged && allocator.isComplete()) {
      completionLogged = true;
      LOG.infof(
          "quota allocator knows all holders: epoch=%d data_planes=%d",
          allocatorTerm.number(), allocator.dataPlanes());
    }
  }

  /**
   * Returns the state of the quota allocator, or {@link QuotaAllocatorStatus#NONE} if this agent is
   * not the allocator.
   */
  QuotaAllocatorStatus status() {
    return allocating ? allocator.status(scheduler.nowMicros()) : QuotaAllocatorStatus.NONE;
  }

  private void flushReports() {
    updateRole();
    List<DataPlaneDemand> reports = List.copyOf(pendingReports.values());
    pendingReports.clear();
    if (allocating) {
      reports.forEach(demand -> report(self, demand));
    } else if (!reports.isEmpty()) {
      links.send(allocatorRole.address(), new ControlPeerMessage.DemandReport(reports));
    }
  }

  /**
   * Updates whether this agent is the allocator. An agent that takes the role creates a new
   * allocator, except if the agent was the allocator before and no other agent can have held the
   * role since.
   */
  private void updateRole() {
    allocating = allocatorRole.isSelf();
    if (!allocating) {
      return;
    }
    AllocatorTerm term = allocatorRole.term();
    if (allocator == null || !term.continues(allocatorTerm)) {
      LOG.infof("quota allocator begins: epoch=%d founding=%b", term.number(), term.isFirst());
      allocator =
          new QuotaAllocator(term.number(), term.isFirst(), windowMicros, scheduler.nowMicros());
      peerOfDataPlane.clear();
      completionLogged = false;
    }
    allocatorTerm = term;
  }

  private void report(String peer, DataPlaneDemand demand) {
    if (!allocating) {
      return;
    }
    peerOfDataPlane.put(demand.node(), peer);
    allocator
        .report(scheduler.nowMicros(), demand.node(), demand.incarnation(), demand.report())
        .ifPresent(claim -> send(List.of(claim)));
    if (demand.report().waiting() && !batchScheduled) {
      batchScheduled = true;
      scheduler.schedule(WAITING_BATCH_MICROS, this::allocateToWaiting);
    }
  }

  private void allocateToWaiting() {
    batchScheduled = false;
    updateRole();
    if (allocating) {
      send(allocator.allocateToWaiting(scheduler.nowMicros()));
    }
  }

  private void send(List<DataPlaneAllocation> allocations) {
    Map<String, List<DataPlaneQuota>> byPeer = new LinkedHashMap<>();
    for (DataPlaneAllocation allocation : allocations) {
      String peer = peerOfDataPlane.get(allocation.dataPlane());
      if (peer != null) {
        byPeer
            .computeIfAbsent(peer, key -> new ArrayList<>())
            .add(new DataPlaneQuota(allocation.dataPlane(), allocation.allocation()));
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

  private void deliver(DataPlaneQuota quota) {
    subscribers.sendTo(quota.node(), new ControlPlaneMessage.QuotaUpdate(quota.allocation()));
  }
}
