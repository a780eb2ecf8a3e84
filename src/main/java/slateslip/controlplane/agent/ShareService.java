package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.distribution.ToControl;
import slateslip.distribution.ToDataPlane;
import slateslip.distribution.exchange.ExchangeMessage;
import slateslip.distribution.exchange.ExchangeMessage.AgentDemand;
import slateslip.distribution.exchange.ExchangeMessage.AllottedShares;
import slateslip.distribution.quota.ShareAllocator;
import slateslip.distribution.quota.ShareAllocator.AgentAllocation;

/**
 * Carries the demand of data planes to the agent that divides the fleet-wide limits, and their
 * shares back. Confined to the event loop.
 */
final class ShareService {
  /** A new allocator listens for this long first, so that it divides among all data planes. */
  private static final long LISTEN_MICROS = 800_000;

  /** A data plane that has not reported for this long has ended. */
  private static final long ENDED_MICROS = 10_000_000;

  private final String self;
  private final Scheduler scheduler;
  private final PeerLinks links;
  private final Subscribers subscribers;
  private final Holder holder;
  private final Map<String, AgentDemand> unsent = new LinkedHashMap<>();
  private ShareAllocator allocator;
  private long allocatorSinceMicros;

  /** The data planes that report to this allocator: where from, and when last. */
  private final Map<String, Origin> origins = new HashMap<>();

  /** Says which agent divides the limits. */
  interface Holder {
    /** Its IPv4 address. */
    String address();

    /** Whether that is this agent, and nobody else can hold the role. */
    boolean isSelf();
  }

  private record Origin(String peer, long reportedMicros) {}

  ShareService(
      String self, Scheduler scheduler, PeerLinks links, Subscribers subscribers, Holder holder) {
    this.self = self;
    this.scheduler = scheduler;
    this.links = links;
    this.subscribers = subscribers;
    this.holder = holder;
  }

  /** A data plane at this agent tells its demand. */
  void demand(ToControl.Subscribe from, ToControl.Demand demand) {
    unsent.put(from.node(), new AgentDemand(from.node(), from.incarnation(), demand.tenants()));
  }

  /** Another agent tells the demand of its data planes. */
  void demands(String peer, ExchangeMessage.Demands demands) {
    if (holder.isSelf()) {
      demands.agents().forEach(demand -> report(peer, demand));
    }
  }

  /** The allocator tells the shares of data planes here. */
  void allotted(ExchangeMessage.Allotted allotted) {
    allotted.agents().forEach(this::deliver);
  }

  /** Sends demand on and, at the allocator, divides. */
  void tick() {
    takeRole();
    List<AgentDemand> demands = List.copyOf(unsent.values());
    unsent.clear();
    if (holder.isSelf()) {
      demands.forEach(demand -> report(self, demand));
      divide();
    } else if (!demands.isEmpty()) {
      links.send(holder.address(), new ExchangeMessage.Demands(demands));
    }
  }

  /** Whoever takes the role begins without memory: what was told before is outdated soon. */
  private void takeRole() {
    if (!holder.isSelf()) {
      allocator = null;
      origins.clear();
    } else if (allocator == null) {
      allocator = new ShareAllocator();
      allocatorSinceMicros = scheduler.nowMicros();
    }
  }

  private void report(String peer, AgentDemand demand) {
    if (allocator == null) {
      return;
    }
    long now = scheduler.nowMicros();
    origins.put(demand.node(), new Origin(peer, now));
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
    Map<String, List<AllottedShares>> byPeer = new LinkedHashMap<>();
    for (AgentAllocation allocation : allocator.allocate(now)) {
      Origin origin = origins.get(allocation.agent());
      if (origin != null) {
        byPeer
            .computeIfAbsent(origin.peer, key -> new ArrayList<>())
            .add(new AllottedShares(allocation.agent(), allocation.shares()));
      }
    }
    byPeer.forEach(this::send);
  }

  private void send(String peer, List<AllottedShares> shares) {
    if (peer.equals(self)) {
      shares.forEach(this::deliver);
    } else {
      links.send(peer, new ExchangeMessage.Allotted(shares));
    }
  }

  private void deliver(AllottedShares allotted) {
    subscribers.sendTo(allotted.node(), new ToDataPlane.Shares(allotted.shares()));
  }
}
