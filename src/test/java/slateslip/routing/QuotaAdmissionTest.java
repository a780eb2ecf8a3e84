package slateslip.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.configuration.RouteKind;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Tenant;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;
import slateslip.routing.quota.QuotaBounds;
import slateslip.routing.retry.RetryBounds;

/**
 * Requests of a tenant with a quota wait for the quota allocator, and each attempt that may have
 * run is charged.
 */
class QuotaAdmissionTest {
  private static final long SECOND = 1_000_000;
  private static final QuotaBounds BOUNDS = new QuotaBounds(8 * SECOND, 0, 0);

  /** A tenant whose quota permits 9,000 units in a window; each request is charged 200 units. */
  private static final Tenant LIMITED =
      new Tenant("t", List.of(Fixtures.KEY), 1, true, 200, 1_000, 1_000);

  private static final double REQUEST_FRACTION = 200.0 / 9_000;

  private final List<RouterOutput> outputs = new ArrayList<>();
  private final FleetRouter router =
      new FleetRouter(new RouterSettings("z0", 1, RetryBounds.DEFAULT, BOUNDS));
  private long now = SECOND;
  private long allocationNumber;
  private long requests;

  QuotaAdmissionTest() {
    feed(new RouterInput.TableChanged(table()));
    feed(
        new RouterInput.BackendsChanged(
            List.of(
                Fixtures.backend("m1", Fixtures.LOG_SERVICE, "z0"),
                Fixtures.backend("m2", Fixtures.LOG_SERVICE, "z0"))));
    // More than one window after its start, the process may use its whole share of the retry
    // budget.
    now += 20 * SECOND;
  }

  private static RoutingTable table() {
    return Fixtures.table(
        1,
        LIMITED,
        Fixtures.route("/i/", RouteKind.IDEMPOTENT, Fixtures.LOG_SERVICE, 2, false),
        Fixtures.route("/w/", RouteKind.NON_IDEMPOTENT, Fixtures.LOG_SERVICE, 2, false));
  }

  private void feed(RouterInput input) {
    outputs.clear();
    outputs.addAll(router.handle(now, input));
  }

  private void allocate(double fraction, boolean exhausted) {
    allocationNumber++;
    QuotaAllocation.Lease lease = new QuotaAllocation.Lease(1, allocationNumber, 1, now, 1);
    List<TenantShare> shares = List.of(new TenantShare("t", fraction, exhausted));
    feed(new RouterInput.QuotaAllocationChanged(new QuotaAllocation(1, lease, shares)));
  }

  private long request(String path) {
    requests++;
    feed(new RouterInput.RequestArrived(requests, Fixtures.attributes(path)));
    return requests;
  }

  private void endAttempt(long request, int attempt, Kind kind) {
    feed(new RouterInput.AttemptEnded(request, attempt, new AttemptOutcome(kind, 503), null, -1));
  }

  private <T> List<T> outputsOf(Class<T> kind) {
    return outputs.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private void assertAttemptsSent(int times) {
    assertThat(outputsOf(RouterOutput.SendAttempt.class), hasSize(times));
  }

  private void assertRequestsCharged(double expected) {
    double spent = router.quotaReport(now).tenants().get(0).spent();
    assertThat(spent, closeTo(expected * REQUEST_FRACTION, 1e-9));
  }

  @Test
  void waitingRequestIsSentAfterAnAllocation() {
    allocate(0, false);
    request("/i/x");
    assertThat(outputsOf(RouterOutput.Respond.class), is(empty()));
    assertAttemptsSent(0);
    assertThat(router.quotaReport(now).waiting(), is(true));
    allocate(REQUEST_FRACTION, false);
    assertAttemptsSent(1);
    assertThat(router.quotaReport(now).waiting(), is(false));
  }

  @Test
  void waitingRequestIsRefusedImmediatelyWhenTheQuotaIsExhausted() {
    allocate(0, false);
    request("/i/x");
    now += SECOND / 10;
    allocate(0, true);
    assertThat(outputsOf(RouterOutput.Respond.class).get(0).status(), is(429));
    request("/i/x");
    assertThat(outputsOf(RouterOutput.Respond.class).get(0).status(), is(429));
  }

  @Test
  void waitingRequestIsRefusedAfterHalfASecond() {
    allocate(0, false);
    request("/i/x");
    now += SECOND / 2 + SECOND / 10;
    feed(new RouterInput.Wake());
    assertThat(outputsOf(RouterOutput.Respond.class).get(0).status(), is(429));
  }

  @Test
  void requestOfADisconnectedClientStopsWaiting() {
    allocate(0, false);
    long request = request("/i/x");
    feed(new RouterInput.ClientDisconnected(request));
    assertThat(router.quotaReport(now).waiting(), is(false));
    allocate(1, false);
    assertAttemptsSent(0);
  }

  @Test
  void retryOfARejectedAttemptIsNotChargedAgain() {
    allocate(1, false);
    long request = request("/i/x");
    endAttempt(request, 0, Kind.NOT_EXECUTED);
    assertAttemptsSent(1);
    assertRequestsCharged(1);
    endAttempt(request, 1, Kind.SUCCESS);
    assertRequestsCharged(1);
  }

  @Test
  void requestThatNoBackendRanIsNotCharged() {
    allocate(1, false);
    long request = request("/w/x");
    endAttempt(request, 0, Kind.NOT_EXECUTED);
    endAttempt(request, 1, Kind.NOT_EXECUTED);
    assertRequestsCharged(0);
  }

  @Test
  void retryOfARequestThatMayHaveRunIsCharged() {
    allocate(1, false);
    long request = request("/i/x");
    endAttempt(request, 0, Kind.BROKEN);
    assertAttemptsSent(1);
    assertRequestsCharged(2);
  }

  @Test
  void retryIsNotSentIfTheQuotaIsExhausted() {
    allocate(REQUEST_FRACTION, false);
    long request = request("/i/x");
    endAttempt(request, 0, Kind.BROKEN);
    assertAttemptsSent(0);
    assertThat(outputsOf(RouterOutput.Respond.class).get(0).status(), is(502));
    assertRequestsCharged(1);
  }

  @Test
  void pendingAttemptStaysChargedUntilAWindowAfterItsStart() {
    allocate(REQUEST_FRACTION, true);
    long request = request("/w/x");
    now += 7 * SECOND;
    feed(new RouterInput.AttemptStarted(request, 0, null));
    endAttempt(request, 0, Kind.SUCCESS);
    now += 7 * SECOND;
    assertRequestsCharged(1);
    now += 2 * SECOND;
    assertRequestsCharged(0);
  }
}
