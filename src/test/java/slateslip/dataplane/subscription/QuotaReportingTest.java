package slateslip.dataplane.subscription;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.TenantDemand;

/** Tests when quota reports are sent, and which quota allocations a data plane accepts. */
class QuotaReportingTest {
  private static final String NEAR = "10.1.0.6";
  private static final String FAR = "10.2.0.6";

  private final DataPlaneIdentity identity = new DataPlaneIdentity("edge-1", 7, "z1", "10.1.0.3");
  private final Subscription subscription = new Subscription(identity, List.of(NEAR, FAR));
  private final List<SubscriptionOutput> outputs = new ArrayList<>();
  private QuotaReport report = QuotaReport.EMPTY;
  private long now = 1_000;

  @BeforeEach
  void connect() {
    tick();
    for (String agent : List.of(NEAR, FAR)) {
      feed(new SubscriptionInput.Connected(agent));
      heartbeat(agent);
    }
    outputs.clear();
  }

  private void feed(SubscriptionInput input) {
    outputs.addAll(subscription.handle(now, input));
  }

  private void tick() {
    feed(new SubscriptionInput.Tick(report));
  }

  private void heartbeat(String agent) {
    ControlPlaneMessage heartbeat =
        new ControlPlaneMessage.Heartbeat(true, 0, 1, List.of(NEAR, FAR));
    feed(new SubscriptionInput.Received(agent, heartbeat));
  }

  private <T> List<T> outputsOf(Class<T> kind) {
    return outputs.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private List<String> recipientsOfReportsInOneSecond() {
    for (long end = now + 1_000; now < end; ) {
      now += Subscription.TICK_MILLIS;
      heartbeat(NEAR);
      heartbeat(FAR);
      tick();
    }
    return outputsOf(SubscriptionOutput.Send.class).stream()
        .filter(send -> send.message() instanceof DataPlaneMessage.Demand)
        .map(SubscriptionOutput.Send::agent)
        .toList();
  }

  @Test
  void reportsGoToTheActiveAgentFourTimesASecond() {
    report = report(false);
    assertThat(recipientsOfReportsInOneSecond(), is(List.of(NEAR, NEAR, NEAR, NEAR)));
  }

  @Test
  void reportsAreSentAtEachTickWhileRequestsWaitForQuota() {
    report = report(true);
    assertThat(recipientsOfReportsInOneSecond().size(), is(10));
  }

  private static QuotaReport report(boolean waiting) {
    return new QuotaReport(0, 0, 0, 0, 0, waiting, List.of(new TenantDemand("t", 10, 5)));
  }

  @Test
  void allocationForAnEarlierProcessOfThisNodeIsDropped() {
    long incarnation = identity.incarnation();
    receiveAllocation(incarnation + 1);
    assertThat(outputsOf(SubscriptionOutput.ApplyAllocation.class), is(empty()));
    receiveAllocation(incarnation);
    assertThat(outputsOf(SubscriptionOutput.ApplyAllocation.class).size(), is(1));
  }

  private void receiveAllocation(long incarnation) {
    QuotaAllocation.Lease lease = new QuotaAllocation.Lease(1, 1, incarnation, 0, 6);
    QuotaAllocation allocation = new QuotaAllocation(6, lease, List.of());
    feed(new SubscriptionInput.Received(NEAR, new ControlPlaneMessage.QuotaUpdate(allocation)));
  }

  @Test
  void reportsWithoutTenantsAreSentTwiceASecond() {
    assertThat(recipientsOfReportsInOneSecond(), is(List.of(NEAR, NEAR)));
  }
}
