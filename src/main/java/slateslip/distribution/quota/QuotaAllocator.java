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
 * #SETTLE_MICROS} ago, so that the fractions in force never sum above 1 as long as a message takes
 * less than that. A data plane that is silent keeps its last fraction, which it lowers to the equal
 * share by itself ({@link #SHARES_STALE_MICROS}), until it is removed.
 */
public final class QuotaAllocator {
  /**
   * Without news of its shares for this long a data plane falls back to the equal share where it
   * had more. Danger: at 3 s a change of the primary, with nobody cut off, leaves a data plane that
   * has a third of the clients with a sixth of the quotas.
   */
  public static final long SHARES_STALE_MICROS = 10_000_000;

  /**
   * A fraction that was told counts as in force for once to twice this after a lower one was told.
   */
  public static final long SETTLE_MICROS = 400_000;

  /** A data plane that has not reported for this long is given no new fraction. */
  private static final long SILENT_MICROS = 1_500_000;

  /** A removed data plane's fractions count as in force for this long: it may only be cut off. */
  private static final long REMOVED_MICROS = 8_000_000;

  /**
   * Time in which the weight of past demand falls to 1/e: most of a quota's window. Danger: at 2 s,
   * fractions move so fast that what was taken under them sums above the rule; the fleet test's
   * worst was 1.07 of it.
   */
  private static final double DEMAND_MICROS = 6_000_000;

  /**
   * Part of each quota that is divided equally: what a data plane without demand so far begins
   * with.
   */
  private static final double EQUAL_PART = 0.6;

  /** The shares of one data plane. */
  public record DataPlaneAllocation(String agent, QuotaAllocation shares) {}

  /** Demand and fraction of one tenant at one data plane. */
  private static final class TenantState {
    long wantedBefore;
    double demand;
    double told;

    /** Highest fractions told in the present and in the last settling period. */
    double highest;

    double highestBefore;
    long periodMicros;

    /** The highest fraction that the data plane may still be using. */
    double inForce() {
      return Math.max(highest, highestBefore);
    }

    /** Begins a new period once this one is over and a report shows that its messages arrived. */
    void settle(long nowMicros, long reportedMicros) {
      if (Math.min(nowMicros, reportedMicros) - periodMicros >= SETTLE_MICROS) {
        highestBefore = highest;
        highest = told;
        periodMicros = nowMicros;
      }
    }

    /** It uses no more than this. */
    void lower(double fraction) {
      told = Math.min(told, fraction);
      highest = Math.min(highest, fraction);
      highestBefore = Math.min(highestBefore, fraction);
    }

    void tell(double fraction) {
      told = fraction;
      highest = Math.max(highest, fraction);
    }
  }

  private static final class DataPlaneState {
    long incarnation;
    long reportedMicros;
    long removedMicros = Long.MAX_VALUE;
    final Map<String, TenantState> cells = new HashMap<>();
  }

  private final Map<String, DataPlaneState> agents = new LinkedHashMap<>();

  /**
   * Takes a data plane's report.
   *
   * @param agent its name
   * @param incarnation drawn at its start: its counts begin at 0 with each
   * @param demand of each tenant since its start
   */
  public void report(long nowMicros, String agent, long incarnation, List<TenantDemand> demand) {
    DataPlaneState state = agents.computeIfAbsent(agent, name -> new DataPlaneState());
    if (state.incarnation != incarnation) {
      state.incarnation = incarnation;
      state.cells.values().forEach(cell -> cell.wantedBefore = 0);
    }
    double fade = Math.exp(-(nowMicros - state.reportedMicros) / DEMAND_MICROS);
    state.reportedMicros = nowMicros;
    state.removedMicros = Long.MAX_VALUE;
    state.cells.values().forEach(cell -> cell.demand *= fade);
    for (TenantDemand each : demand) {
      TenantState cell = state.cells.computeIfAbsent(each.tenant(), name -> new TenantState());
      cell.demand += Math.max(0, each.wantedUnits() - cell.wantedBefore);
      cell.wantedBefore = each.wantedUnits();
    }
  }

  /** The data plane's stream has ended for good; what it was told stays reserved for a while. */
  public void removed(long nowMicros, String agent) {
    DataPlaneState state = agents.get(agent);
    if (state != null && state.removedMicros == Long.MAX_VALUE) {
      state.removedMicros = nowMicros;
    }
  }

  /** Fractions of all data planes that report; each is to be sent to its data plane at once. */
  public List<DataPlaneAllocation> allocate(long nowMicros) {
    agents.values().removeIf(agent -> nowMicros - agent.removedMicros > REMOVED_MICROS);
    TreeSet<String> tenants = new TreeSet<>();
    agents.values().forEach(agent -> tenants.addAll(agent.cells.keySet()));
    tenants.forEach(tenant -> divide(nowMicros, tenant));
    List<DataPlaneAllocation> allocations = new ArrayList<>();
    agents.forEach(
        (name, agent) -> {
          if (live(agent, nowMicros)) {
            allocations.add(new DataPlaneAllocation(name, shares(agent, tenants)));
          }
        });
    return allocations;
  }

  private QuotaAllocation shares(DataPlaneState agent, Set<String> tenants) {
    List<TenantShare> shares = new ArrayList<>(tenants.size());
    tenants.forEach(tenant -> shares.add(new TenantShare(tenant, agent.cells.get(tenant).told)));
    return new QuotaAllocation(agents.size(), shares);
  }

  private boolean live(DataPlaneState agent, long nowMicros) {
    return agent.removedMicros == Long.MAX_VALUE
        && nowMicros - agent.reportedMicros <= SILENT_MICROS;
  }

  private void divide(long nowMicros, String tenant) {
    double equal = 1.0 / agents.size();
    double silent = 0;
    double demand = 0;
    int live = 0;
    for (DataPlaneState agent : agents.values()) {
      TenantState cell = agent.cells.computeIfAbsent(tenant, name -> new TenantState());
      cell.settle(nowMicros, agent.reportedMicros);
      if (live(agent, nowMicros)) {
        demand += cell.demand;
        live++;
      } else {
        silent += silentFraction(agent, cell, equal, nowMicros);
      }
    }
    if (live > 0) {
      tell(nowMicros, tenant, Math.max(0, 1 - silent), demand, live);
    }
  }

  /**
   * What a silent data plane may still be using; without news it has lowered its fraction by
   * itself.
   */
  private double silentFraction(
      DataPlaneState agent, TenantState cell, double equal, long nowMicros) {
    if (nowMicros - agent.reportedMicros > SHARES_STALE_MICROS + SETTLE_MICROS) {
      // Danger: were this forgotten when it reports again, it would be told more than the others
      // left.
      cell.lower(equal);
    }
    return cell.inForce();
  }

  private void tell(long nowMicros, String tenant, double whole, double demand, int live) {
    double growing = 0;
    double room = whole;
    for (DataPlaneState agent : agents.values()) {
      if (live(agent, nowMicros)) {
        TenantState cell = agent.cells.get(tenant);
        growing += Math.max(0, wanted(cell, whole, demand, live) - cell.inForce());
        room -= cell.inForce();
      }
    }
    double growth = growing <= 0 ? 0 : Math.min(1, Math.max(0, room) / growing);
    for (DataPlaneState agent : agents.values()) {
      if (live(agent, nowMicros)) {
        TenantState cell = agent.cells.get(tenant);
        double wanted = wanted(cell, whole, demand, live);
        double more = Math.max(0, wanted - cell.inForce());
        cell.tell(Math.min(wanted, cell.inForce() + growth * more));
      }
    }
  }

  private static double wanted(TenantState cell, double whole, double demand, int live) {
    double byDemand = demand > 0 ? cell.demand / demand : 1.0 / live;
    return whole * (EQUAL_PART / live + (1 - EQUAL_PART) * byDemand);
  }
}
