package slateslip.simulation.quota;

import java.util.List;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.Spending;
import slateslip.distribution.TenantDemand;

/** A fault that is put into data planes or allocators; the simulation must detect each of them. */
enum QuotaMutation {
  /** No fault. */
  NONE,
  /** Quotas charge only half of the units of a request. */
  COUNTS_HALF_OF_A_REQUEST,
  /** A new allocator assumes that there was no allocator before. */
  ALLOCATOR_WITHOUT_MEMORY,
  /**
   * Data planes do not report spent units as demand, so that the units count as free immediately.
   */
  SPENDING_NOT_REPORTED,
  /** Neither data planes nor allocators check epochs. */
  EPOCH_NOT_CHECKED,
  /**
   * A restarted process keeps its incarnation, so that its demand is not separated from the demand
   * of the previous process.
   */
  RESTART_NOT_REPORTED,
  /** A tenant that is removed and added again starts without spent units. */
  FORGETS_REMOVED_TENANTS,
  /** Units are charged from the admission of a request instead of from its execution. */
  SETTLES_AT_ADMISSION,
  /** Further attempts are not charged to the quota. */
  REPEATS_FOR_FREE,
  /** A data plane keeps using the largest fraction of the quota that it was ever allocated. */
  KEEPS_LARGEST_FRACTION,
  /** The lease of an allocation never expires. */
  LEASE_WITHOUT_END;

  private static final long FAR_FUTURE_MICROS = Long.MAX_VALUE / 2;

  long countedUnits(long units) {
    return this == COUNTS_HALF_OF_A_REQUEST ? units / 2 : units;
  }

  boolean startsAsFounder() {
    return this == ALLOCATOR_WITHOUT_MEMORY;
  }

  int nextIncarnation(int incarnation) {
    return this == RESTART_NOT_REPORTED ? incarnation : incarnation + 1;
  }

  boolean forgetsRemovedTenants() {
    return this == FORGETS_REMOVED_TENANTS;
  }

  boolean settlesAtAdmission() {
    return this == SETTLES_AT_ADMISSION;
  }

  boolean repeatsForFree() {
    return this == REPEATS_FOR_FREE;
  }

  /** Returns the report as the allocator of an epoch receives it. */
  QuotaReport received(QuotaReport report, long epoch) {
    return this == EPOCH_NOT_CHECKED
        ? new QuotaReport(
            epoch,
            report.appliedNumber(),
            report.sentMicros(),
            report.ageMicros(),
            report.holders(),
            report.waiting(),
            report.tenants())
        : report;
  }

  /** Returns the report as the data plane sends it. */
  QuotaReport changed(QuotaReport report) {
    if (this != SPENDING_NOT_REPORTED) {
      return report;
    }
    List<TenantDemand> tenants =
        report.tenants().stream()
            .map(
                demand ->
                    new TenantDemand(
                        demand.tenant(),
                        demand.wantedUnits(),
                        demand.admittedUnits(),
                        demand.allowed(),
                        Spending.NONE,
                        demand.needed() - demand.spent(),
                        demand.desired() - demand.spent()))
            .toList();
    return new QuotaReport(
        report.epoch(),
        report.appliedNumber(),
        report.sentMicros(),
        report.ageMicros(),
        report.holders(),
        report.waiting(),
        tenants);
  }

  /**
   * Returns the allocation as the data plane applies it.
   *
   * @param obeyedEpoch newest allocator epoch that the data plane has accepted
   * @param largestFraction largest fraction of the quota that the data plane was allocated so far
   */
  QuotaAllocation changed(
      QuotaAllocation allocation, long nowMicros, long obeyedEpoch, double largestFraction) {
    QuotaAllocation.Lease lease = changed(allocation.lease(), nowMicros, obeyedEpoch);
    List<QuotaAllocation.TenantShare> tenants = allocation.tenants();
    if (this == KEEPS_LARGEST_FRACTION) {
      tenants =
          tenants.stream()
              .map(share -> new QuotaAllocation.TenantShare(share.tenant(), largestFraction))
              .toList();
    }
    return new QuotaAllocation(allocation.dataPlanes(), lease, tenants);
  }

  private QuotaAllocation.Lease changed(
      QuotaAllocation.Lease lease, long nowMicros, long obeyedEpoch) {
    if (this == LEASE_WITHOUT_END) {
      return new QuotaAllocation.Lease(
          lease.epoch(), lease.number(), lease.incarnation(), FAR_FUTURE_MICROS, lease.holders());
    }
    if (this == EPOCH_NOT_CHECKED && !lease.isClaim()) {
      long epoch = Math.max(obeyedEpoch, lease.epoch());
      return new QuotaAllocation.Lease(
          epoch, nowMicros, lease.incarnation(), lease.reportSentMicros(), lease.holders());
    }
    return lease;
  }
}
