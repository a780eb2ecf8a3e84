package slateslip.routing.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import slateslip.configuration.Tenant;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.TenantDemand;

/**
 * Quotas of all tenants at one data plane. In each window, the data plane may spend no more than
 * the fraction of a quota that the allocator has leased to it. Each report to the allocator states
 * the spent units. Changes of the configuration do not reset them.
 */
public final class TenantQuotas {
  /** Maximum time for which a request waits for the allocator. */
  private static final long MAX_WAIT_MICROS = 500_000;

  /** Requests do not wait for an allocator that has sent no allocation for this time. */
  private static final long ALLOCATOR_TIMEOUT_MICROS = 1_000_000;

  /**
   * Lower limit of the time after which a client that exceeded its quota is asked to retry; {@link
   * #MAX_RETRY_AFTER_MICROS} is the upper limit.
   */
  private static final long MIN_RETRY_AFTER_MICROS = 100_000;

  private static final long MAX_RETRY_AFTER_MICROS = 2_000_000;

  /**
   * Part of an allocated fraction that is used if the allocation has no lease. The rest is a
   * margin, because such fractions of several data planes may overlap in time.
   */
  private static final double UNLEASED_FRACTION = 0.85;

  private final QuotaBounds bounds;
  private final long startMicros;
  private final Map<String, TenantQuota> quotas = new HashMap<>();
  private final QuotaLease lease = new QuotaLease();
  private int dataPlanes;
  private int waiting;

  /**
   * Creates quotas without tenants.
   *
   * @param startMicros start time of the process on the steady clock
   * @param dataPlanes number of data planes that are assumed to share the other limits of the fleet
   *     until a control agent reports the actual number
   */
  public TenantQuotas(QuotaBounds bounds, long startMicros, int dataPlanes) {
    this.startMicros = startMicros;
    this.bounds = bounds;
    this.dataPlanes = dataPlanes;
  }

  /**
   * Returns the units that a request is charged: its tokens if the tenant's quota counts tokens,
   * otherwise 1. If the client did not state both token counts (negative values), the tenant's
   * default for such requests applies.
   */
  public static long units(Tenant tenant, long promptTokens, long outputTokens) {
    if (!tenant.countsTokens()) {
      return 1;
    }
    boolean bothStated = promptTokens >= 0 && outputTokens >= 0;
    return bothStated ? promptTokens + outputTokens : tenant.uncachedTokens();
  }

  /**
   * Applies the tenants of another configuration. Tenants that were removed are kept until their
   * spent units have expired.
   */
  public void configure(List<Tenant> tenants, long nowMicros) {
    Map<String, Tenant> byName =
        tenants.stream().collect(Collectors.toMap(Tenant::name, Function.identity()));
    quotas.forEach((name, quota) -> quota.configure(byName.get(name)));
    byName.forEach((name, tenant) -> quotaOf(name).configure(tenant));
    removeUnused(nowMicros);
  }

  private TenantQuota quotaOf(String tenant) {
    return quotas.computeIfAbsent(tenant, name -> new TenantQuota(name, bounds));
  }

  private void removeUnused(long nowMicros) {
    quotas.values().removeIf(quota -> quota.canBeRemoved(nowMicros));
  }

  /** Applies an allocation unless it is outdated or comes from a former allocator. */
  public void applyAllocation(QuotaAllocation allocation, long nowMicros) {
    boolean claim = allocation.lease() != null && allocation.lease().isClaim();
    if (!claim) {
      dataPlanes = Math.max(1, allocation.dataPlanes());
    }
    if (allocation.lease() == null) {
      if (lease.renewWithoutLease(nowMicros)) {
        allocateWithoutLease(allocation);
      }
    } else if (lease.renew(allocation.lease(), nowMicros)) {
      quotas.values().forEach(quota -> quota.setAllocation(0, false));
      for (TenantShare share : allocation.tenants()) {
        quotaOf(share.tenant()).setAllocation(share.fraction(), share.exhausted());
      }
    }
  }

  private void allocateWithoutLease(QuotaAllocation allocation) {
    double equalFraction = UNLEASED_FRACTION / dataPlanes;
    quotas.values().forEach(quota -> quota.setAllocation(equalFraction, false));
    for (TenantShare share : allocation.tenants()) {
      double fraction = Math.min(1, Math.max(0, share.fraction()));
      quotaOf(share.tenant()).setAllocation(UNLEASED_FRACTION * fraction, false);
    }
  }

  /**
   * Returns the number of data planes that share the limits of the fleet, at least 1 after the
   * first allocation.
   */
  public int dataPlanes() {
    return dataPlanes;
  }

  /** Decides on a request that has just arrived. */
  public QuotaDecision request(Tenant tenant, long units, long nowMicros) {
    TenantQuota quota = quotaOf(tenant.name());
    quota.countWanted(units);
    if (fits(quota, units, nowMicros)) {
      return new QuotaDecision.Admitted(quota.take(units));
    }
    boolean mayWait =
        !quota.isExhausted() && lease.renewedWithin(ALLOCATOR_TIMEOUT_MICROS, nowMicros);
    if (!mayWait) {
      return refuse(quota, units, nowMicros);
    }
    quota.beginWait(units);
    waiting++;
    return new QuotaDecision.Waiting(
        new QuotaWait(tenant, units, nowMicros, nowMicros + MAX_WAIT_MICROS));
  }

  /**
   * Decides again on a waiting request; to be called after an allocation and when the maximum wait
   * is over.
   */
  public QuotaDecision reconsider(QuotaWait wait, long nowMicros) {
    TenantQuota quota = quotaOf(wait.tenant().name());
    if (fits(quota, wait.units(), nowMicros)) {
      cancelWait(wait);
      return new QuotaDecision.Admitted(quota.take(wait.units()));
    }
    boolean exhaustedSinceWait =
        quota.isExhausted() && lease.coversReportSentAt(wait.sinceMicros());
    if (exhaustedSinceWait || nowMicros >= wait.untilMicros()) {
      cancelWait(wait);
      return refuse(quota, wait.units(), nowMicros);
    }
    return new QuotaDecision.Waiting(wait);
  }

  /** Ends the wait of a request without a charge. */
  public void cancelWait(QuotaWait wait) {
    waiting--;
    quotaOf(wait.tenant().name()).endWait(wait.units());
  }

  /**
   * Charges another attempt of a request that was admitted before.
   *
   * @param tenant tenant of the request; null if the request has none
   * @return the charge; null if the quota has no capacity for the attempt
   */
  public QuotaCharge takeForRetry(Tenant tenant, long units, long nowMicros) {
    if (tenant == null) {
      return QuotaCharge.UNCOUNTED;
    }
    TenantQuota quota = quotaOf(tenant.name());
    quota.countWanted(units);
    if (fits(quota, units, nowMicros)) {
      return quota.take(units);
    }
    quota.countRefused(units, nowMicros);
    return null;
  }

  private boolean fits(TenantQuota quota, long units, long nowMicros) {
    return quota.fits(units, lease.isHeld(nowMicros), nowMicros);
  }

  private QuotaDecision refuse(TenantQuota quota, long units, long nowMicros) {
    quota.countRefused(units, nowMicros);
    long wait = quota.waitMicros(units, lease.isHeld(nowMicros), nowMicros);
    return new QuotaDecision.Refused(
        Math.min(MAX_RETRY_AFTER_MICROS, Math.max(MIN_RETRY_AFTER_MICROS, wait)));
  }

  /** Returns the report on spent units and demand for the quota allocator. */
  public QuotaReport report(long nowMicros) {
    removeUnused(nowMicros);
    boolean leased = lease.isHeld(nowMicros);
    List<TenantDemand> tenants = new ArrayList<>(quotas.size());
    for (TenantQuota quota : quotas.values()) {
      if (quota.isReported(nowMicros)) {
        tenants.add(quota.demand(leased, nowMicros));
      }
    }
    return new QuotaReport(
        lease.epoch(),
        lease.number(),
        nowMicros,
        nowMicros - startMicros,
        lease.holders(),
        waiting > 0,
        tenants);
  }

  /** Returns the state of the quotas of all configured tenants. */
  public QuotaStatus status(long nowMicros) {
    boolean leased = lease.isHeld(nowMicros);
    List<TenantQuotaStatus> tenants =
        quotas.values().stream()
            .filter(TenantQuota::isConfigured)
            .map(quota -> quota.status(leased, nowMicros))
            .toList();
    return new QuotaStatus(dataPlanes, lease.epoch(), tenants);
  }

  /** Returns the epoch of the allocator that this data plane accepts; 0 if none. */
  public long allocatorEpoch() {
    return lease.epoch();
  }
}
