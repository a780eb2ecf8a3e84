package slateslip.distribution.quota;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.QuotaReport;

/**
 * Leases parts of each tenant's quota to data planes, according to their needs. The allocator is a
 * state machine without a clock; callers pass the time in microseconds. One instance divides the
 * quotas among all data planes.
 *
 * <p>For each data plane the allocator keeps an upper bound on the spending that may count in any
 * window from now on: the maximum of the reported spending and of every fraction that may be in
 * force at that data plane. The bounds of all data planes, including unresponsive data planes and
 * ended processes, never sum to more than the quota, so the spending in a window does not either. A
 * bound falls only with a report: a lower fraction lowers the bound once the data plane confirms
 * the fraction, and spent units become free once they have left the window.
 *
 * <p>A new allocator first sends each data plane a claim, so that the data plane follows this
 * allocator from then on. Until the allocator knows everything that earlier allocators allocated
 * ({@link AllocationRecovery}), the allocator only moves what known data planes hold.
 */
public final class QuotaAllocator {
  /** The fraction of each quota that is allocated in normal operation. */
  private static final double USED_PART = 0.85;

  /**
   * The further fraction that may be allocated while the allocator does not know what was spent
   * before it started.
   */
  private static final double RESTART_PART = 1 - USED_PART;

  /** A tenant that requests more than is available for this long counts as over its limit. */
  private static final long OVER_LIMIT_MICROS = 500_000;

  /** An allocation and the name of the data plane that receives it. */
  public record DataPlaneAllocation(String dataPlane, QuotaAllocation allocation) {}

  private final long epoch;
  private final long windowMicros;
  private final AllocationRecovery recovery;
  private final Map<String, QuotaHolder> holders = new LinkedHashMap<>();
  private final EndedHoldings ended;

  /**
   * The time since when each tenant has requested more than is available, recorded only until the
   * recovery is complete.
   */
  private final Map<String, Long> exhaustedSinceMicros = new HashMap<>();

  /**
   * The fraction of each tenant's quota that data planes held when they began to follow this
   * allocator.
   */
  private final Map<String, Double> inherited = new HashMap<>();

  private int rounds;
  private boolean superseded;

  /**
   * Creates an allocator that knows no data plane.
   *
   * @param epoch higher than the epoch of any earlier allocator
   * @param firstAllocator whether there was no earlier allocator
   * @param windowMicros length of the window in which quotas are counted
   */
  public QuotaAllocator(long epoch, boolean firstAllocator, long windowMicros, long nowMicros) {
    this.epoch = epoch;
    this.windowMicros = windowMicros;
    this.ended = new EndedHoldings(windowMicros);
    this.recovery = new AllocationRecovery(nowMicros, windowMicros, firstAllocator);
  }

  /**
   * Processes a data plane's report. Reports that are outdated or come from an ended process are
   * ignored.
   *
   * @param dataPlane name of the data plane
   * @param incarnation random number that the data plane's process drew at its start
   * @return a claim to be sent to the data plane at once if the data plane does not follow this
   *     allocator yet; otherwise empty
   */
  public Optional<DataPlaneAllocation> report(
      long nowMicros, String dataPlane, long incarnation, QuotaReport report) {
    QuotaHolder known = holders.get(dataPlane);
    if (ended.contains(dataPlane, incarnation)
        || (isSameProcess(known, incarnation) && known.isOutdated(report))) {
      return Optional.empty();
    }
    if (report.epoch() > epoch) {
      superseded = true;
      return Optional.empty();
    }
    QuotaHolder holder =
        isSameProcess(known, incarnation)
            ? known
            : replaceProcess(
                nowMicros, nowMicros - report.ageMicros(), dataPlane, known, incarnation);
    holders.put(dataPlane, holder);
    boolean holdingsUnknown = known == null || !known.isKnown();
    recovery.recordReport(nowMicros, report, holdingsUnknown);
    holder.recordReport(nowMicros, report);
    if (report.isCountsOnly()) {
      return Optional.empty();
    }
    if (report.epoch() < epoch) {
      return Optional.of(new DataPlaneAllocation(dataPlane, claim(holder)));
    }
    update(holder, report);
    return Optional.empty();
  }

  private static boolean isSameProcess(QuotaHolder holder, long incarnation) {
    return holder != null && holder.incarnation() == incarnation;
  }

  private QuotaHolder replaceProcess(
      long nowMicros,
      long startedMicros,
      String dataPlane,
      QuotaHolder previous,
      long incarnation) {
    if (previous != null) {
      ended.add(nowMicros, startedMicros, dataPlane, previous);
    }
    return new QuotaHolder(incarnation);
  }

  private void update(QuotaHolder holder, QuotaReport report) {
    boolean inherits = !holder.followsThisAllocator();
    holder.update(report);
    if (inherits) {
      holder
          .holdings()
          .forEach((tenant, holding) -> inherited.merge(tenant, holding.reserved(), Double::sum));
    }
  }

  private QuotaAllocation claim(QuotaHolder holder) {
    QuotaAllocation.Lease lease =
        new QuotaAllocation.Lease(epoch, 0, holder.incarnation(), holder.sentMicros(), 0);
    return new QuotaAllocation(dataPlanes(), lease, List.of());
  }

  /** Returns whether any data plane has reported a tenant. */
  public boolean hasTenants() {
    return holders.values().stream().anyMatch(holder -> !holder.holdings().isEmpty());
  }

  /** Returns whether requests at any data plane wait for its next allocation. */
  public boolean hasWaiting() {
    return holders.values().stream().anyMatch(QuotaHolder::hasWaitingRequests);
  }

  /**
   * Divides all quotas. Returns the allocations for all data planes that report, to be sent at
   * once; empty if a later allocator exists or the warm-up is not over.
   */
  public List<DataPlaneAllocation> allocate(long nowMicros) {
    expire(nowMicros);
    if (superseded || !recovery.isWarmupOver(nowMicros)) {
      return List.of();
    }
    tenants().forEach(tenant -> divide(nowMicros, tenant));
    List<DataPlaneAllocation> allocations = new ArrayList<>();
    holders.forEach(
        (name, holder) -> {
          if (holder.isLive(nowMicros)) {
            allocations.add(new DataPlaneAllocation(name, allocation(holder)));
          } else if (holder.isCountsOnly() && holder.hasReportedRecently(nowMicros)) {
            allocations.add(new DataPlaneAllocation(name, equalParts()));
          }
        });
    return allocations;
  }

  /**
   * Divides the quotas of tenants with unmet needs at data planes where requests wait. Returns the
   * allocations for these data planes, to be sent at once; empty if a later allocator exists or the
   * warm-up is not over.
   */
  public List<DataPlaneAllocation> allocateToWaiting(long nowMicros) {
    if (superseded || !recovery.isWarmupOver(nowMicros)) {
      return List.of();
    }
    expire(nowMicros);
    Set<String> needed = new TreeSet<>();
    List<String> waiting = new ArrayList<>();
    holders.forEach(
        (name, holder) -> {
          if (holder.hasWaitingRequests() && holder.isLive(nowMicros)) {
            waiting.add(name);
            holder.holdings().forEach((tenant, holding) -> addIfUnmet(needed, tenant, holding));
          }
        });
    needed.forEach(tenant -> divide(nowMicros, tenant));
    return waiting.stream()
        .map(name -> new DataPlaneAllocation(name, allocation(holders.get(name))))
        .toList();
  }

  private static void addIfUnmet(Set<String> tenants, String tenant, TenantHolding holding) {
    if (holding.needed() > holding.assigned()) {
      tenants.add(tenant);
    }
  }

  private void expire(long nowMicros) {
    ended.expire(nowMicros);
    for (QuotaHolder holder : holders.values()) {
      if (holder.isUnresponsiveFor(QuotaTiming.LEASE_MICROS, nowMicros)) {
        holder.endLease();
      }
    }
    long retentionMicros = QuotaTiming.unresponsiveRetentionMicros(windowMicros);
    holders.values().removeIf(holder -> holder.isUnresponsiveFor(retentionMicros, nowMicros));
    int knownHolders = (int) holders.values().stream().filter(QuotaHolder::isKnown).count();
    recovery.update(nowMicros, knownHolders);
  }

  private Set<String> tenants() {
    Set<String> tenants = new TreeSet<>();
    holders.values().forEach(holder -> tenants.addAll(holder.holdings().keySet()));
    return tenants;
  }

  /** Returns whether the allocator knows everything that earlier allocators allocated. */
  public boolean isComplete() {
    return recovery.isComplete();
  }

  /** Returns the state of the allocator and of all quotas, for operators. */
  public QuotaAllocatorStatus status(long nowMicros) {
    List<QuotaAllocatorStatus.TenantAllocation> allocations =
        tenants().stream().map(tenant -> status(nowMicros, tenant)).toList();
    return new QuotaAllocatorStatus(epoch, holders.size(), recovery.isComplete(), allocations);
  }

  private QuotaAllocatorStatus.TenantAllocation status(long nowMicros, String tenant) {
    double spent = 0;
    double reservedByLive = 0;
    double unresponsive = 0;
    for (QuotaHolder holder : holders.values()) {
      double reserved = reservedBy(holder, tenant);
      if (holder.isLive(nowMicros)) {
        reservedByLive += reserved;
        spent += holder.holding(tenant).spent();
      } else {
        unresponsive += reserved;
      }
    }
    return new QuotaAllocatorStatus.TenantAllocation(
        tenant, spent, reservedByLive, unresponsive, ended.fraction(nowMicros, tenant));
  }

  private void divide(long nowMicros, String tenant) {
    List<TenantHolding> live = new ArrayList<>();
    double reserved = ended.fraction(nowMicros, tenant);
    for (QuotaHolder holder : holders.values()) {
      if (holder.isLive(nowMicros)) {
        live.add(holder.holding(tenant));
      } else {
        reserved += holder.isCountsOnly() ? USED_PART / dataPlanes() : reservedBy(holder, tenant);
      }
    }
    if (live.isEmpty()) {
      return;
    }
    rounds++;
    Collections.rotate(live, rounds);
    QuotaDivision division =
        new QuotaDivision(live, Math.max(0, allocatableFraction(nowMicros, tenant) - reserved));
    division.divide();
    recordExhaustion(nowMicros, tenant, division.isExhausted());
  }

  private void recordExhaustion(long nowMicros, String tenant, boolean exhausted) {
    if (recovery.isComplete() || isOverLimit(nowMicros, tenant)) {
      return;
    }
    if (exhausted) {
      exhaustedSinceMicros.putIfAbsent(tenant, nowMicros);
    } else {
      exhaustedSinceMicros.remove(tenant);
    }
  }

  /**
   * Returns whether the tenant requested more than was available for {@link #OVER_LIMIT_MICROS}
   * while the recovery was not complete.
   */
  private boolean isOverLimit(long nowMicros, String tenant) {
    Long sinceMicros = exhaustedSinceMicros.get(tenant);
    return sinceMicros != null && nowMicros - sinceMicros >= OVER_LIMIT_MICROS;
  }

  private static double reservedBy(QuotaHolder holder, String tenant) {
    TenantHolding holding = holder.holdings().get(tenant);
    return holding == null ? 0 : holding.reserved();
  }

  /** Returns the fraction of the tenant's quota that all data planes together may hold. */
  private double allocatableFraction(long nowMicros, String tenant) {
    if (recovery.isComplete()) {
      return USED_PART;
    }
    double transferable = Math.min(USED_PART, inherited.getOrDefault(tenant, 0.0));
    double released = recovery.releasedFraction(nowMicros);
    if (recovery.hasPredecessor() || isOverLimit(nowMicros, tenant)) {
      return transferable + RESTART_PART * released;
    }
    return Math.max(transferable, USED_PART * released);
  }

  private QuotaAllocation allocation(QuotaHolder holder) {
    QuotaAllocation.Lease lease =
        new QuotaAllocation.Lease(
            epoch,
            holder.nextAllocation(),
            holder.incarnation(),
            holder.sentMicros(),
            recovery.holders(holders.size()));
    List<TenantShare> shares = new ArrayList<>();
    holder
        .holdings()
        .forEach(
            (tenant, holding) -> {
              if (holding.assigned() > 0 || holding.exhausted()) {
                shares.add(new TenantShare(tenant, holding.assigned(), holding.exhausted()));
              }
            });
    return new QuotaAllocation(dataPlanes(), lease, shares);
  }

  /**
   * Returns an allocation for a data plane whose version does not support leases. Such a data plane
   * uses an equal part of every quota for which the allocation names no fraction.
   */
  private QuotaAllocation equalParts() {
    return new QuotaAllocation(dataPlanes(), List.of());
  }

  /** Returns how many data planes share the limits of the fleet, as far as is known; at least 1. */
  public int dataPlanes() {
    return Math.max(1, Math.max(holders.size(), recovery.holders(holders.size())));
  }
}
