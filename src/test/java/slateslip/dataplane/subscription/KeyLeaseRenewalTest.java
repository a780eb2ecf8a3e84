package slateslip.dataplane.subscription;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaReport;

/**
 * Tests that a pong extends the key lease from the time of its ping, if the newest configuration
 * version is in force.
 */
class KeyLeaseRenewalTest {
  private static final String AGENT = "10.1.0.6";
  private static final long LEASE_MILLIS = 4_500;
  private static final String TENANTS = "[{\"name\":\"t\",\"api_keys\":[\"k\"]}]";

  private final DataPlaneIdentity identity = new DataPlaneIdentity("edge-1", 7, "z1", "10.1.0.3");
  private final List<SubscriptionOutput> outputs = new ArrayList<>();
  private Subscription subscription;
  private long now = 10_000;

  private void subscribe(long leaseMillis, String tenants) {
    subscription = new Subscription(identity, List.of(AGENT), leaseMillis);
    feed(new SubscriptionInput.Tick(QuotaReport.EMPTY));
    feed(new SubscriptionInput.Connected(AGENT));
    heartbeat(3);
    String document = "{\"version\":3,\"routes\":[],\"services\":[],\"tenants\":" + tenants + "}";
    receive(
        new ControlPlaneMessage.ConfigurationSnapshot(
            3, document.getBytes(StandardCharsets.UTF_8)));
    outputs.clear();
  }

  private void feed(SubscriptionInput input) {
    outputs.addAll(subscription.handle(now, input));
  }

  private void receive(ControlPlaneMessage message) {
    feed(new SubscriptionInput.Received(AGENT, message));
  }

  private void heartbeat(long version) {
    receive(new ControlPlaneMessage.Heartbeat(true, version, 1, List.of(AGENT)));
  }

  private List<SubscriptionOutput.ExtendKeyLease> leases() {
    return outputs.stream()
        .filter(SubscriptionOutput.ExtendKeyLease.class::isInstance)
        .map(SubscriptionOutput.ExtendKeyLease.class::cast)
        .toList();
  }

  private List<DataPlaneMessage> pings() {
    return outputs.stream()
        .filter(SubscriptionOutput.Send.class::isInstance)
        .map(output -> ((SubscriptionOutput.Send) output).message())
        .filter(DataPlaneMessage.Ping.class::isInstance)
        .toList();
  }

  @Test
  void leaseStartsAtTheTimeOfThePing() {
    subscribe(LEASE_MILLIS, TENANTS);
    now += 2_000;
    heartbeat(3);
    receive(new ControlPlaneMessage.Pong(10_500));
    assertThat(leases(), contains(new SubscriptionOutput.ExtendKeyLease(10_500 + LEASE_MILLIS)));
  }

  @Test
  void pongExtendsNoLeaseBeforeTheNewestVersionIsInForce() {
    subscribe(LEASE_MILLIS, TENANTS);
    heartbeat(4);
    receive(new ControlPlaneMessage.Pong(10_000));
    assertThat(leases(), is(empty()));
  }

  @Test
  void pongOfAnAgentWithAnOlderVersionExtendsNoLease() {
    subscribe(LEASE_MILLIS, TENANTS);
    heartbeat(2);
    receive(new ControlPlaneMessage.Pong(10_000));
    assertThat(leases(), is(empty()));
  }

  @Test
  void activeAgentIsPingedToo() {
    subscribe(LEASE_MILLIS, TENANTS);
    now += 600;
    feed(new SubscriptionInput.Tick(QuotaReport.EMPTY));
    assertThat(pings(), is(not(empty())));
  }

  @Test
  void configurationWithoutTenantsCausesNoPingsAndNoLeases() {
    subscribe(LEASE_MILLIS, "[]");
    now += 600;
    feed(new SubscriptionInput.Tick(QuotaReport.EMPTY));
    receive(new ControlPlaneMessage.Pong(10_000));
    assertThat(pings(), is(empty()));
    assertThat(leases(), is(empty()));
  }

  @Test
  void activeAgentIsNotPingedInAFleetWithoutLeases() {
    subscribe(0, TENANTS);
    now += 600;
    feed(new SubscriptionInput.Tick(QuotaReport.EMPTY));
    assertThat(pings(), is(empty()));
  }
}
