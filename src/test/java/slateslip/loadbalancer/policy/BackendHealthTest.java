package slateslip.loadbalancer.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.policy.BackendHealth.State;

class BackendHealthTest {
  private static final long SECOND = 1_000_000;
  private static final long START = 1_000 * SECOND;
  private static final HealthParameters YARP = HealthParameters.YARP;

  private final BackendHealth health = new BackendHealth(YARP);

  private static void recordRequests(BackendHealth health, long now, int total, int failed) {
    for (int i = 0; i < total; i++) {
      health.requestEnded(now, i < failed);
    }
  }

  @Test
  void newBackendIsAvailableInUnknownState() {
    assertThat(health.available(), is(true));
    assertThat(health.active(), is(State.UNKNOWN));
    assertThat(health.passive(), is(State.UNKNOWN));
  }

  @Test
  void twoFailedProbesMakeUnhealthyAndOneSuccessMakesHealthy() {
    assertThat(health.probeFailed(), is(false));
    assertThat(health.available(), is(true));
    assertThat(health.probeFailed(), is(true));
    assertThat(health.available(), is(false));
    assertThat("the change is reported once", health.probeFailed(), is(false));
    assertThat(health.probeSucceeded(), is(true));
    assertThat(health.available(), is(true));
    assertThat(health.active(), is(State.HEALTHY));
  }

  @Test
  void successfulOrInconclusiveProbeResetsFailureCount() {
    health.probeFailed();
    assertThat(health.probeSucceeded(), is(false));
    health.probeFailed();
    health.probeInconclusive();
    assertThat(health.probeFailed(), is(false));
    assertThat(health.available(), is(true));
  }

  @Test
  void tooFewRequestsDoNotEject() {
    recordRequests(health, START, 9, 9);
    assertThat(health.ejectIfFailing(START, List.of()), is(false));
    health.requestEnded(START, true);
    assertThat(health.ejectIfFailing(START, List.of()), is(true));
    assertThat(health.available(), is(false));
  }

  @Test
  void failureShareAtTheLimitDoesNotEject() {
    recordRequests(health, START, 10, 3);
    assertThat(health.ejectIfFailing(START, List.of()), is(false));
    health.requestEnded(START, true);
    assertThat(health.ejectIfFailing(START, List.of()), is(true));
  }

  @Test
  void outcomesOlderThanTheWindowAreRemoved() {
    recordRequests(health, START, 10, 10);
    recordRequests(health, START + YARP.window() + YARP.window() / 10, 10, 0);
    assertThat(health.requestsInWindow(), is(10));
    assertThat(health.failuresInWindow(), is(0));
    assertThat(health.ejectIfFailing(START + 2 * YARP.window(), List.of()), is(false));
  }

  @Test
  void reactivationResetsThePassiveStateAndTheWindow() {
    recordRequests(health, START, 10, 10);
    health.ejectIfFailing(START, List.of());
    assertThat(health.reactivateIfDue(START + YARP.reactivation() - 1), is(false));
    assertThat(health.available(), is(false));
    assertThat(health.reactivateIfDue(START + YARP.reactivation()), is(true));
    assertThat(health.passive(), is(State.UNKNOWN));
    assertThat(health.available(), is(true));
    assertThat(health.requestsInWindow(), is(0));
  }

  @Test
  void repeatedEjectionDoesNotExtendReactivationTime() {
    recordRequests(health, START, 10, 10);
    health.ejectIfFailing(START, List.of());
    assertThat(health.ejectIfFailing(START + SECOND, List.of()), is(false));
    assertThat(health.reactivateIfDue(START + YARP.reactivation()), is(true));
  }

  @Test
  void equalFailureShareAtPeersDoesNotEject() {
    HealthParameters parameters = new HealthParameters(2, 10 * SECOND, 5, 0.3, 1, 5 * SECOND);
    BackendHealth backend = new BackendHealth(parameters);
    BackendHealth peer = new BackendHealth(parameters);
    recordRequests(backend, START, 10, 6);
    recordRequests(peer, START, 100, 60);
    assertThat(backend.ejectIfFailing(START, List.of(peer)), is(false));
    BackendHealth healthyPeer = new BackendHealth(parameters);
    recordRequests(healthyPeer, START, 100, 0);
    assertThat(backend.ejectIfFailing(START, List.of(healthyPeer)), is(true));
  }

  @Test
  void peerFailuresOlderThanTheWindowDoNotPreventEjection() {
    HealthParameters parameters = new HealthParameters(2, 10 * SECOND, 5, 0.3, 1, 5 * SECOND);
    BackendHealth backend = new BackendHealth(parameters);
    BackendHealth peer = new BackendHealth(parameters);
    recordRequests(peer, START, 100, 100);
    recordRequests(backend, START + 20 * SECOND, 10, 10);
    assertThat(backend.ejectIfFailing(START + 20 * SECOND, List.of(peer)), is(true));
  }

  @Test
  void activeAndPassiveStateAreIndependent() {
    health.probeFailed();
    health.probeFailed();
    recordRequests(health, START, 10, 10);
    health.ejectIfFailing(START, List.of());
    health.probeSucceeded();
    assertThat("the passive state is still Unhealthy", health.available(), is(false));
    health.resetActive();
    assertThat(health.active(), is(State.UNKNOWN));
    health.reset();
    assertThat(health.available(), is(true));
  }

  @Test
  void invalidParametersAreRejected() {
    assertThrows(
        IllegalArgumentException.class, () -> new HealthParameters(0, SECOND, 1, 0.3, 0, SECOND));
    assertThrows(
        IllegalArgumentException.class, () -> new HealthParameters(2, 0, 1, 0.3, 0, SECOND));
    assertThrows(
        IllegalArgumentException.class, () -> new HealthParameters(2, SECOND, 1, 1.5, 0, SECOND));
    assertThrows(
        IllegalArgumentException.class,
        () -> new HealthParameters(2, SECOND, 1, Double.NaN, 0, SECOND));
  }
}
