package slateslip.routing.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.configuration.Tenant;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.quota.QuotaTiming;

/** Admission by allocated fractions of a tenant's quota, and the reported demand. */
class TenantQuotasTest {
  private static final long SECOND = 1_000_000;
  private static final QuotaBounds BOUNDS = new QuotaBounds(8 * SECOND, 0, 0);

  /** A tenant whose quota permits 9,000 units in a window. */
  private static final Tenant TENANT = new Tenant("t", List.of("k"), -1, true, 200, 1_000, 1_000);

  private final TenantQuotas quotas = new TenantQuotas(BOUNDS, 0, 6);
  private long now = SECOND;

  TenantQuotasTest() {
    quotas.configure(List.of(TENANT), now);
  }

  private void allocate(long epoch, long number, double fraction, boolean exhausted) {
    QuotaAllocation.Lease lease = new QuotaAllocation.Lease(epoch, number, 1, now, 6);
    quotas.applyAllocation(
        new QuotaAllocation(6, lease, List.of(new TenantShare("t", fraction, exhausted))), now);
  }

  private QuotaDecision request(long units) {
    return quotas.request(TENANT, units, now);
  }

  private QuotaCharge admit(long units) {
    return ((QuotaDecision.Admitted) request(units)).charge();
  }

  private TenantDemand demand() {
    return quotas.report(now).tenants().get(0);
  }

  private void assertRefused(QuotaDecision decision) {
    assertThat(decision, instanceOf(QuotaDecision.Refused.class));
  }

  @Test
  void unitsCountFromAdmissionUntilAWindowAfterTheStart() {
    allocate(1, 1, 1, true);
    QuotaCharge charge = admit(9_000);
    now += 10 * SECOND;
    assertRefused(request(1));
    charge.commit(now);
    now += 8 * SECOND;
    assertRefused(request(1));
    now += SECOND;
    allocate(1, 2, 1, true);
    assertThat(request(9_000), instanceOf(QuotaDecision.Admitted.class));
  }

  @Test
  void chargeIsReleasedAtMostOnceAndNotAfterTheStart() {
    allocate(1, 1, 1, true);
    QuotaCharge charge = admit(9_000);
    charge.release();
    charge.release();
    assertThat(demand().spent(), closeTo(0, 1e-9));
    QuotaCharge another = admit(9_000);
    another.commit(now);
    another.release();
    assertThat(demand().spent(), closeTo(1, 1e-9));
  }

  @Test
  void nothingIsAdmittedAfterTheLeaseEnds() {
    allocate(1, 1, 1, false);
    now += QuotaTiming.LEASE_MICROS;
    assertRefused(request(1));
    assertThat(demand().allowed(), is(0.0));
  }

  @Test
  void allocationsOfAFormerAllocatorAndLateOnesAreIgnored() {
    allocate(2, 1, 0.1, false);
    allocate(1, 9, 1, false);
    assertThat(demand().allowed(), is(0.1));
    allocate(2, 1, 1, false);
    assertThat("an allocation that arrives late is ignored", demand().allowed(), is(0.1));
    allocate(2, 2, 0.5, false);
    assertThat(demand().allowed(), is(0.5));
  }

  @Test
  void claimKeepsTheAllocationAndExcludesFormerAllocators() {
    allocate(1, 1, 0.5, false);
    quotas.applyAllocation(
        new QuotaAllocation(1, new QuotaAllocation.Lease(3, 0, 1, now, 0), List.of()), now);
    assertThat(quotas.report(now).epoch(), is(3L));
    assertThat("a claim does not change the number of data planes", quotas.dataPlanes(), is(6));
    assertThat(demand().allowed(), is(0.5));
    allocate(1, 2, 1, false);
    assertThat(demand().allowed(), is(0.5));
  }

  @Test
  void waitingRequestIsReportedAndAdmittedAfterAnAllocation() {
    allocate(1, 1, 0, false);
    QuotaWait wait = ((QuotaDecision.Waiting) request(900)).quotaWait();
    assertThat(quotas.report(now).waiting(), is(true));
    assertThat(demand().needed(), closeTo(0.1, 1e-9));
    now += SECOND / 10;
    allocate(1, 2, 0.1, false);
    assertThat(quotas.reconsider(wait, now), instanceOf(QuotaDecision.Admitted.class));
    assertThat(quotas.report(now).waiting(), is(false));
  }

  @Test
  void waitingRequestIsRefusedWhenTheQuotaIsExhaustedOrTheWaitIsOver() {
    allocate(1, 1, 0, false);
    QuotaWait first = ((QuotaDecision.Waiting) request(900)).quotaWait();
    now += SECOND / 10;
    allocate(1, 2, 0, true);
    assertRefused(quotas.reconsider(first, now));
    assertRefused(request(900));
    allocate(1, 3, 0, false);
    QuotaWait second = ((QuotaDecision.Waiting) request(900)).quotaWait();
    now = second.untilMicros();
    assertRefused(quotas.reconsider(second, now));
    assertThat(quotas.report(now).waiting(), is(false));
  }

  @Test
  void requestDoesNotWaitForAnUnresponsiveAllocator() {
    allocate(1, 1, 0, false);
    now += 2 * SECOND;
    assertRefused(request(900));
  }

  @Test
  void refusedRequestCountsAsDemandForALimitedTime() {
    allocate(1, 1, 0, true);
    assertRefused(request(900));
    assertThat(demand().needed(), closeTo(0.1, 1e-9));
    now += 2 * SECOND;
    assertThat(demand().needed(), closeTo(0, 1e-9));
  }

  @Test
  void removedAndRestoredTenantKeepsItsSpentUnits() {
    allocate(1, 1, 1, true);
    admit(9_000).commit(now);
    quotas.configure(List.of(), now);
    assertThat("spent units of a removed tenant are reported", demand().spent(), closeTo(1, 1e-9));
    quotas.configure(List.of(TENANT), now);
    assertRefused(request(1));
    quotas.configure(List.of(), now);
    now += 9 * SECOND;
    assertThat(quotas.report(now).tenants(), is(empty()));
  }

  @Test
  void retryIsChargedAgainIfTheQuotaPermits() {
    allocate(1, 1, 1, false);
    admit(5_000);
    assertThat(quotas.takeForRetry(TENANT, 5_000, now), is(nullValue()));
    assertThat(quotas.takeForRetry(TENANT, 4_000, now).units(), is(4_000L));
  }

  @Test
  void allocationWithoutALeaseAppliesUnlessALeaseIsHeld() {
    quotas.applyAllocation(new QuotaAllocation(2, List.of()), now);
    assertThat(demand().allowed(), closeTo(0.425, 1e-9));
    allocate(1, 1, 0.1, false);
    quotas.applyAllocation(new QuotaAllocation(2, List.of()), now);
    assertThat(demand().allowed(), closeTo(0.1, 1e-9));
  }
}
