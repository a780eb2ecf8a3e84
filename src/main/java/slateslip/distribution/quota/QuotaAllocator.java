package slateslip.distribution.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.TenantDemand;

/**
 * Divides each tenant's quota among data planes, by what each was asked for lately.
 *
 * <p>A state machine without a clock; one instance divides for all data planes. A fraction that
 * shrinks takes effect at once; one that grows takes only what the others gave up at least {@link
 * #PROPAGATION_MICROS} ago, so that the fractions in force never sum above 1 as long as a message
 * takes less than that. A data plane that is unresponsive keeps its last fraction, which it lowers
 * to the equal share by itself ({@link #ALLOCATION_TTL_MICROS}), until it is removed.
 */
public final class QuotaAllocator {
  /**
   * Without an update of its shares for this long a data plane falls back to the equal share where
   * it had more. Danger: at 3 s a change of the primary, with nobody cut off, leaves a data plane
   * that has a third of the clients with a sixth of the quotas.
   */
  public static final long ALLOCATION_TTL_MICROS = 10_000_000;

  /**
   * An assigned fraction counts as in force for once to twice this after a lower one was assigned.
   */
  public static final long PROPAGATION_MICROS = 400_000;

  /** A data plane that has not reported for this long is given no new fraction. */
  private static final long REPORT_TIMEOUT_MICROS = 1_500_000;

  /** A removed data plane's fractions count as in force for this long: it may only be cut off. */
  private static final long REMOVED_RETENTION_MICROS = 8_000_000;

  /**
   * Time in which the weight of past demand falls to 1/e: most of a quota's window. Danger: at 2 s,
   * fractions move so fast that what was taken under them sums above the rule; the fleet test's
   * worst was 1.07 of it.
   */
  private static final double DEMAND_DECAY_MICROS = 6_000_000;

  /**
   * Part of each quota that is divided equally: what a data plane without demand so far begins
   * with.
   */
  private static final double EQUAL_SHARE_FRACTION = 0.6;

  /** The shares of one data plane. */
  public record DataPlaneAllocation(String dataPlane, QuotaAllocation shares) {}

  /** Demand and fraction of one tenant at one data plane. */
  private static final class TenantState {
    long lastWantedUnits;
    double demand;
    double assigned;

    /** Highest fractions assigned in the present and in the last propagation period. */
    double highestAssigned;

    double previousHighestAssigned;
    long periodMicros;

    /** The highest fraction that the data plane may still be using. */
    double effectiveFraction() {
      return Math.max(highestAssigned, previousHighestAssigned);
    }

    /** Begins a new period once this one is over and a report shows that its messages arrived. */
    void advancePeriod(long nowMicros, long reportedMicros) {
      if (Math.min(nowMicros, reportedMicros) - periodMicros >= PROPAGATION_MICROS) {
        previousHighestAssigned = highestAssigned;
        highestAssigned = assigned;
        periodMicros = nowMicros;
      }
    }

    /** It uses no more than this. */
    void capAt(double fraction) {
      assigned = Math.min(assigned, fraction);
      highestAssigned = Math.min(highestAssigned, fraction);
      previousHighestAssigned = Math.min(previousHighestAssigned, fraction);
    }

    void assign(double fraction) {
      assigned = fraction;
      highestAssigned = Math.max(highestAssigned, fraction);
    }
  }

  private static final class DataPlaneState {
    long incarnation;
    long reportedMicros;
    long removedMicros = Long.MAX_VALUE;
    final Map<String, TenantState> tenants = new HashMap<>();
  }

  private final Map<String, DataPlaneState> dataPlanes = new LinkedHashMap<>();

  /**
   * Takes a data plane's report.
   *
   * @param dataPlane its name
   * @param incarnation drawn at its start: its counts begin at 0 with each
   * @param demand of each tenant since its start
   */
  public void report(
      long nowMicros, String dataPlane, long incarnation, List<TenantDemand> demand) {
    DataPlaneState state = dataPlanes.computeIfAbsent(dataPlane, name -> new DataPlaneState());
    if (state.incarnation != incarnation) {
      state.incarnation = incarnation;
      state.tenants.values().forEach(tenantState -> tenantState.lastWantedUnits = 0);
    }
    double decay = Math.exp(-(nowMicros - state.reportedMicros) / DEMAND_DECAY_MICROS);
    state.reportedMicros = nowMicros;
    state.removedMicros = Long.MAX_VALUE;
    state.tenants.values().forEach(tenantState -> tenantState.demand *= decay);
    for (TenantDemand tenantDemand : demand) {
      TenantState tenantState =
          state.tenants.computeIfAbsent(tenantDemand.tenant(), name -> new TenantState());
      tenantState.demand += Math.max(0, tenantDemand.wantedUnits() - tenantState.lastWantedUnits);
      tenantState.lastWantedUnits = tenantDemand.wantedUnits();
    }
  }

  /** Whether any data plane has reported the demand of a tenant. */
  public boolean hasTenants() {
    return dataPlanes.values().stream().anyMatch(dataPlane -> !dataPlane.tenants.isEmpty());
  }

  /**
   * The data plane's stream has ended for good; what it was assigned stays reserved for a while.
   */
  public void removed(long nowMicros, String dataPlane) {
    DataPlaneState state = dataPlanes.get(dataPlane);
    if (state != null && state.removedMicros == Long.MAX_VALUE) {
      state.removedMicros = nowMicros;
    }
  }

  /** Fractions of all data planes that report; each is to be sent to its data plane at once. */
  public List<DataPlaneAllocation> allocate(long nowMicros) {
    dataPlanes
        .values()
        .removeIf(dataPlane -> nowMicros - dataPlane.removedMicros > REMOVED_RETENTION_MICROS);
    TreeSet<String> tenants = new TreeSet<>();
    dataPlanes.values().forEach(dataPlane -> tenants.addAll(dataPlane.tenants.keySet()));
    tenants.forEach(tenant -> allocateTenant(nowMicros, tenant));
    List<DataPlaneAllocation> allocations = new ArrayList<>();
    dataPlanes.forEach(
        (name, dataPlane) -> {
          if (isLive(dataPlane, nowMicros)) {
            allocations.add(new DataPlaneAllocation(name, shares(dataPlane, tenants)));
          }
        });
    return allocations;
  }

  private QuotaAllocation shares(DataPlaneState dataPlane, Set<String> tenants) {
    List<TenantShare> shares = new ArrayList<>(tenants.size());
    tenants.forEach(
        tenant -> shares.add(new TenantShare(tenant, dataPlane.tenants.get(tenant).assigned)));
    return new QuotaAllocation(dataPlanes.size(), shares);
  }

  private boolean isLive(DataPlaneState dataPlane, long nowMicros) {
    return dataPlane.removedMicros == Long.MAX_VALUE
        && nowMicros - dataPlane.reportedMicros <= REPORT_TIMEOUT_MICROS;
  }

  private void allocateTenant(long nowMicros, String tenant) {
    double equalShare = 1.0 / dataPlanes.size();
    double reserved = 0;
    double demand = 0;
    int liveCount = 0;
    for (DataPlaneState dataPlane : dataPlanes.values()) {
      TenantState tenantState =
          dataPlane.tenants.computeIfAbsent(tenant, name -> new TenantState());
      tenantState.advancePeriod(nowMicros, dataPlane.reportedMicros);
      if (isLive(dataPlane, nowMicros)) {
        demand += tenantState.demand;
        liveCount++;
      } else {
        reserved += reservedFraction(dataPlane, tenantState, equalShare, nowMicros);
      }
    }
    if (liveCount > 0) {
      assign(nowMicros, tenant, Math.max(0, 1 - reserved), demand, liveCount);
    }
  }

  /**
   * What an unresponsive data plane may still be using; without an update it has lowered its
   * fraction by itself.
   */
  private double reservedFraction(
      DataPlaneState dataPlane, TenantState tenantState, double equalShare, long nowMicros) {
    if (nowMicros - dataPlane.reportedMicros > ALLOCATION_TTL_MICROS + PROPAGATION_MICROS) {
      // Danger: were this forgotten when it reports again, it would be assigned more than the
      // others
      // left.
      tenantState.capAt(equalShare);
    }
    return tenantState.effectiveFraction();
  }

  private void assign(
      long nowMicros, String tenant, double available, double demand, int liveCount) {
    double requestedGrowth = 0;
    double unassigned = available;
    for (DataPlaneState dataPlane : dataPlanes.values()) {
      if (isLive(dataPlane, nowMicros)) {
        TenantState tenantState = dataPlane.tenants.get(tenant);
        requestedGrowth +=
            Math.max(
                0,
                targetFraction(tenantState, available, demand, liveCount)
                    - tenantState.effectiveFraction());
        unassigned -= tenantState.effectiveFraction();
      }
    }
    double growthRatio =
        requestedGrowth <= 0 ? 0 : Math.min(1, Math.max(0, unassigned) / requestedGrowth);
    for (DataPlaneState dataPlane : dataPlanes.values()) {
      if (isLive(dataPlane, nowMicros)) {
        TenantState tenantState = dataPlane.tenants.get(tenant);
        double target = targetFraction(tenantState, available, demand, liveCount);
        double increase = Math.max(0, target - tenantState.effectiveFraction());
        tenantState.assign(
            Math.min(target, tenantState.effectiveFraction() + growthRatio * increase));
      }
    }
  }

  private static double targetFraction(
      TenantState tenantState, double available, double demand, int liveCount) {
    double demandShare = demand > 0 ? tenantState.demand / demand : 1.0 / liveCount;
    return available
        * (EQUAL_SHARE_FRACTION / liveCount + (1 - EQUAL_SHARE_FRACTION) * demandShare);
  }
}
