package slateslip.distribution.quota;

import java.util.List;

/**
 * Divides one tenant's quota among data planes. What a data plane needs for requests that wait or
 * were refused is assigned first, either in full or not at all. What the data plane is likely to
 * need soon is then assigned out of a part of the rest. If a need is not met, every data plane
 * gives up half of what it does not need in each round.
 */
final class QuotaDivision {
  /** The fraction of the currently unneeded quota that is held back for new needs. */
  private static final double RESERVE_PART = 0.4;

  /**
   * The fraction of the quota that is divided equally among all data planes, including those
   * without demand.
   */
  private static final double IDLE_PART = 0.3;

  /**
   * The fraction of its unneeded part that a data plane gives up in one round while a need is not
   * met.
   */
  private static final double SURPLUS_REDUCTION = 0.5;

  private final List<TenantHolding> live;
  private final double available;
  private double free;
  private boolean unmet;
  private boolean exhausted;

  /**
   * Prepares a division, which {@link #divide} carries out.
   *
   * @param live holdings that may change; those at the front are served first
   * @param available fraction of the quota that these holdings may have together
   */
  QuotaDivision(List<TenantHolding> live, double available) {
    this.live = live;
    this.available = available;
    this.free = available - live.stream().mapToDouble(TenantHolding::reserved).sum();
  }

  void divide() {
    live.forEach(this::satisfyNeed);
    live.forEach(this::lowerToTarget);
    double surplus = live.stream().mapToDouble(QuotaDivision::surplus).sum();
    double maxSurplus = (1 - RESERVE_PART) * Math.max(0, available - needs());
    if (unmet) {
      live.forEach(holding -> reduceSurplus(holding, SURPLUS_REDUCTION));
    } else if (surplus > maxSurplus) {
      live.forEach(holding -> reduceSurplus(holding, 1 - maxSurplus / surplus));
    } else {
      growTowardTargets(Math.min(free, maxSurplus - surplus));
    }
    exhausted = unmet && needs() > available;
    live.forEach(holding -> holding.setExhausted(exhausted && isUnmet(holding)));
  }

  /** Returns whether the data planes need more than is available. */
  boolean isExhausted() {
    return exhausted;
  }

  private void satisfyNeed(TenantHolding holding) {
    if (!isUnmet(holding)) {
      return;
    }
    double growth = Math.max(0, holding.needed() - holding.reserved());
    if (growth == 0 || growth <= free) {
      free -= growth;
      holding.assign(holding.needed());
    } else {
      unmet = true;
    }
  }

  private static boolean isUnmet(TenantHolding holding) {
    return holding.needed() > holding.assigned();
  }

  private void lowerToTarget(TenantHolding holding) {
    holding.assign(Math.min(holding.assigned(), target(holding)));
  }

  /** Returns the assigned fraction beyond what the data plane needs or has spent. */
  private static double surplus(TenantHolding holding) {
    return Math.max(0, holding.assigned() - Math.max(holding.needed(), holding.spent()));
  }

  private static void reduceSurplus(TenantHolding holding, double part) {
    holding.assign(holding.assigned() - part * surplus(holding));
  }

  private double target(TenantHolding holding) {
    double idle = IDLE_PART * available / live.size();
    return Math.max(idle, Math.max(holding.needed(), holding.desired()));
  }

  private void growTowardTargets(double budget) {
    double wanted = live.stream().mapToDouble(this::growthToTarget).sum();
    double scale = wanted <= budget ? 1 : Math.max(0, budget) / wanted;
    for (TenantHolding holding : live) {
      double confirmed = Math.min(target(holding), holding.reserved());
      double grown = confirmed + scale * growthToTarget(holding);
      holding.assign(Math.max(holding.assigned(), grown));
    }
  }

  private double growthToTarget(TenantHolding holding) {
    return Math.max(0, target(holding) - holding.reserved());
  }

  private double needs() {
    return live.stream().mapToDouble(holding -> Math.max(holding.needed(), holding.spent())).sum();
  }
}
