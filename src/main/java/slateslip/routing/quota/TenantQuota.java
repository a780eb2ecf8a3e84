package slateslip.routing.quota;

import slateslip.configuration.Tenant;
import slateslip.distribution.Spending;
import slateslip.distribution.TenantDemand;

/**
 * The quota of one tenant at one data plane: its limit, its spent units and its waiting requests.
 */
final class TenantQuota {
  private static final double MICROS_PER_SECOND = 1e6;

  /** Tolerance for rounding: fractions of a quota are rounded, while units are whole numbers. */
  private static final double ROUNDING_UNITS = 0.5;

  /** Time for which a refused request counts as demand. */
  private static final long REFUSED_DEMAND_MICROS = 1_000_000;

  private final String name;
  private final QuotaBounds bounds;
  private final QuotaWindow window;

  /**
   * The tenant in the current configuration; null if the configuration does not contain the tenant.
   */
  private Tenant tenant;

  /**
   * The tenant as defined by the latest configuration that gave the tenant a limit. Spent units are
   * reported as a fraction of this limit. Null if the tenant never had a limit.
   */
  private Tenant limitedTenant;

  private double fraction;
  private boolean exhausted;
  private long wantedUnits;
  private long admittedUnits;
  private long refusedUnits;
  private long waitingUnits;
  private long lastRefusedUnits;
  private long lastRefusedMicros = Long.MIN_VALUE;

  /**
   * Recent peak of the spent units. This peak and {@link #recentLargestUnits} decay exponentially,
   * with the length of the window as the time constant.
   */
  private double recentPeakUnits;

  /** Units of the largest recent request. */
  private double recentLargestUnits;

  private long decayedMicros;

  TenantQuota(String name, QuotaBounds bounds) {
    this.name = name;
    this.bounds = bounds;
    this.window = new QuotaWindow(bounds.windowMicros());
  }

  /**
   * Applies another configuration of the tenant; null if the tenant was removed. Spent units are
   * kept.
   */
  void configure(Tenant changed) {
    tenant = changed;
    if (isLimited()) {
      limitedTenant = changed;
    }
  }

  boolean isConfigured() {
    return tenant != null;
  }

  boolean isLimited() {
    return tenant != null && tenant.ratePerSecond() > 0;
  }

  /**
   * Returns whether the tenant is reported to the allocator: while it has a limit, and after its
   * limit was removed until its spent units have expired.
   */
  boolean isReported(long nowMicros) {
    return isLimited() || (limitedTenant != null && window.spentUnits(nowMicros) > 0);
  }

  /**
   * Returns whether the tenant is no longer configured and has neither spent units nor waiting
   * requests.
   */
  boolean canBeRemoved(long nowMicros) {
    return tenant == null && waitingUnits == 0 && window.spentUnits(nowMicros) == 0;
  }

  void setAllocation(double allocatedFraction, boolean isExhausted) {
    fraction = allocatedFraction;
    exhausted = isExhausted;
  }

  boolean isExhausted() {
    return exhausted;
  }

  /** Returns the units that all data planes together may spend in one window. */
  private double permittedUnits() {
    double seconds = bounds.windowMicros() / MICROS_PER_SECOND;
    double quota = limitedTenant.ratePerSecond() * seconds + limitedTenant.burst();
    return quota * (1 + bounds.overshoot()) + bounds.slack();
  }

  /**
   * Returns whether units can be charged now.
   *
   * @param leased whether the lease of the latest allocation is held; without it, no units can be
   *     charged
   */
  boolean fits(long units, boolean leased, long nowMicros) {
    if (!isLimited()) {
      return true;
    }
    double allowedUnits = leased ? fraction * permittedUnits() : 0;
    return window.spentUnits(nowMicros) + units <= allowedUnits + ROUNDING_UNITS;
  }

  QuotaCharge take(long units) {
    admittedUnits += units;
    recentLargestUnits = Math.max(recentLargestUnits, (double) units);
    return window.take(units);
  }

  void countWanted(long units) {
    wantedUnits += units;
  }

  void countRefused(long units, long nowMicros) {
    refusedUnits += units;
    lastRefusedUnits = units;
    lastRefusedMicros = nowMicros;
  }

  void beginWait(long units) {
    waitingUnits += units;
  }

  void endWait(long units) {
    waitingUnits -= units;
  }

  /**
   * Returns the time in microseconds until units could be charged if the allocation did not change
   * and no other units were charged.
   */
  long waitMicros(long units, boolean leased, long nowMicros) {
    double allowedUnits = leased ? fraction * permittedUnits() : 0;
    double excessUnits = window.spentUnits(nowMicros) + units - allowedUnits;
    return window.waitMicros((long) Math.ceil(excessUnits), nowMicros);
  }

  /** Returns the demand that is reported to the allocator. */
  TenantDemand demand(boolean leased, long nowMicros) {
    double permitted = permittedUnits();
    double spent = window.spentUnits(nowMicros);
    double needed = spent + unmetUnits(nowMicros);
    decay(spent, nowMicros);
    double desired = Math.max(needed, recentPeakUnits) + recentLargestUnits;
    return new TenantDemand(
        name,
        wantedUnits,
        admittedUnits,
        leased ? fraction : 0,
        spending(permitted, nowMicros),
        needed / permitted,
        desired / permitted);
  }

  private Spending spending(double permitted, long nowMicros) {
    return Spending.of(
        window.spentUnits(nowMicros) / permitted,
        bounds.windowMicros(),
        elapsedMicros -> window.unitsCountingAt(nowMicros + elapsedMicros) / permitted);
  }

  private double unmetUnits(long nowMicros) {
    boolean recentlyRefused =
        lastRefusedMicros != Long.MIN_VALUE
            && nowMicros - lastRefusedMicros <= REFUSED_DEMAND_MICROS;
    return Math.max(waitingUnits, recentlyRefused ? lastRefusedUnits : 0);
  }

  private void decay(double spentUnits, long nowMicros) {
    double decayFactor = Math.exp(-(double) (nowMicros - decayedMicros) / bounds.windowMicros());
    decayedMicros = nowMicros;
    recentPeakUnits = Math.max(spentUnits, recentPeakUnits * decayFactor);
    recentLargestUnits *= decayFactor;
  }

  TenantQuotaStatus status(boolean leased, long nowMicros) {
    return new TenantQuotaStatus(
        name,
        admittedUnits,
        window.returnedUnits(),
        refusedUnits,
        window.spentUnits(nowMicros),
        waitingUnits,
        leased ? fraction : 0);
  }
}
