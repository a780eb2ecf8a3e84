package slateslip.routing.health;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/** Suspicion, probes and ejection of one backend. */
class BackendHealthMonitorTest {
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000 * MILLI;
  private static final List<BackendHealth> NO_PEERS = List.of();

  private static final long IDLE_PROBE_MICROS = micros(RoutingParameter.IDLE_PROBE_MILLIS);
  private static final long PROBE_RESPONSE_MICROS = micros(RoutingParameter.PROBE_REPLY_MILLIS);
  private static final long SUSPECT_PROBE_MICROS = micros(RoutingParameter.SUSPECT_PROBE_MILLIS);
  private static final long REACTIVATION_MICROS = micros(RoutingParameter.REACTIVATION_MILLIS);

  private final ServiceDelay serviceDelay = new ServiceDelay(RoutingPolicy.DEFAULT);
  private final BackendHealthMonitor monitor =
      new BackendHealthMonitor(0, serviceDelay, RoutingPolicy.DEFAULT);

  @Test
  void failedConnectionRaisesSuspicionUntilAProbeSucceeds() {
    monitor.connectFailed(SECOND, NO_PEERS);
    assertThat(monitor.trusted(SECOND), is(false));
    assertThat("a suspected backend stays available", monitor.available(SECOND), is(true));
    assertThat(
        "a suspected backend is probed immediately",
        monitor.probeDue(SECOND, IDLE_PROBE_MICROS),
        is(true));
    monitor.probeSent(SECOND);
    monitor.probeSucceeded(SECOND + 2 * MILLI);
    assertThat(monitor.trusted(SECOND + 2 * MILLI), is(true));
  }

  @Test
  void twoConsecutiveBrokenResponsesRaiseSuspicion() {
    monitor.requestBroken(SECOND, NO_PEERS);
    assertThat(monitor.trusted(SECOND), is(true));
    assertThat(
        "a broken response triggers a probe",
        monitor.probeDue(SECOND, IDLE_PROBE_MICROS),
        is(true));
    monitor.requestSucceeded(SECOND + MILLI);
    monitor.requestBroken(SECOND + 2 * MILLI, NO_PEERS);
    assertThat(monitor.trusted(SECOND + 2 * MILLI), is(true));
    monitor.requestBroken(SECOND + 3 * MILLI, NO_PEERS);
    assertThat(monitor.trusted(SECOND + 3 * MILLI), is(false));
  }

  @Test
  void twoFailedProbesMakeUnhealthyAndOneSuccessMakesAvailable() {
    monitor.probeSent(SECOND);
    monitor.probeFailed();
    assertThat(monitor.available(SECOND), is(true));
    monitor.probeSent(2 * SECOND);
    monitor.probeFailed();
    assertThat(monitor.available(2 * SECOND), is(false));
    monitor.probeSent(3 * SECOND);
    monitor.probeSucceeded(3 * SECOND);
    assertThat(monitor.available(3 * SECOND), is(true));
  }

  @Test
  void probeTimeoutsAreIgnoredWhileTheBackendResponds() {
    for (int i = 1; i <= 5; i++) {
      monitor.probeSent(i * SECOND);
      monitor.requestSucceeded(i * SECOND + MILLI);
      monitor.probeTimedOut();
    }
    assertThat(monitor.trusted(6 * SECOND), is(true));
  }

  @Test
  void twoProbeTimeoutsWithoutAnyResponseMakeUnhealthy() {
    monitor.probeSent(SECOND);
    monitor.probeTimedOut();
    monitor.probeSent(2 * SECOND);
    monitor.probeTimedOut();
    assertThat(monitor.available(2 * SECOND), is(false));
  }

  @Test
  void rejectedProbeEndsSuspicion() {
    monitor.connectFailed(SECOND, NO_PEERS);
    monitor.probeSent(SECOND);
    monitor.probeRejected(SECOND + MILLI);
    assertThat(monitor.trusted(SECOND + MILLI), is(true));
  }

  @Test
  void probeWithoutResponseRaisesSuspicionBeforeItsTimeout() {
    monitor.requestProbe();
    assertThat(monitor.probeDue(SECOND, IDLE_PROBE_MICROS), is(true));
    monitor.probeSent(SECOND);
    assertThat(monitor.checkProbeTimeout(SECOND + PROBE_RESPONSE_MICROS - 1), is(false));
    assertThat(monitor.checkProbeTimeout(SECOND + PROBE_RESPONSE_MICROS), is(true));
    assertThat(monitor.trusted(2 * SECOND), is(false));
  }

  @Test
  void nextCheckIsTheNextProbeOrTheTimeoutOfAPendingProbe() {
    long idle = IDLE_PROBE_MICROS;
    monitor.requestSucceeded(SECOND);
    assertThat(monitor.nextCheckMicros(idle), is(SECOND + idle));
    monitor.requestProbe();
    monitor.probeSent(2 * SECOND);
    assertThat(monitor.nextCheckMicros(idle), is(2 * SECOND + PROBE_RESPONSE_MICROS));
    monitor.activity(2 * SECOND + MILLI);
    assertThat(
        "a backend that sent data needs no timeout of the probe",
        monitor.nextCheckMicros(idle),
        is(Long.MAX_VALUE));
  }

  @Test
  void successfulRequestPostponesTheIdleProbe() {
    monitor.requestSucceeded(7 * SECOND);
    assertThat(monitor.probeDue(8 * SECOND, IDLE_PROBE_MICROS), is(false));
    assertThat(monitor.probeDue(7 * SECOND + IDLE_PROBE_MICROS, IDLE_PROBE_MICROS), is(true));
  }

  @Test
  void suspectedBackendIsProbedAtItsInterval() {
    monitor.connectFailed(SECOND, NO_PEERS);
    monitor.probeSent(SECOND);
    monitor.probeFailed();
    assertThat(monitor.probeDue(SECOND + SUSPECT_PROBE_MICROS - 1, IDLE_PROBE_MICROS), is(false));
    assertThat(monitor.probeDue(SECOND + SUSPECT_PROBE_MICROS, IDLE_PROBE_MICROS), is(true));
  }

  @Test
  void failuresInTheWindowEjectUntilReactivation() {
    for (int i = 0; i < 6; i++) {
      monitor.requestSucceeded(SECOND + i);
    }
    for (int i = 0; i < 3; i++) {
      monitor.timedOut(SECOND + 10 + i, SECOND + 5, NO_PEERS);
    }
    assertThat("nine requests are too few", monitor.available(2 * SECOND), is(true));
    monitor.timedOut(SECOND + 20, SECOND + 5, NO_PEERS);
    assertThat(monitor.available(2 * SECOND), is(false));
    long reactivated = SECOND + 20 + REACTIVATION_MICROS;
    assertThat(monitor.available(reactivated - 1), is(false));
    assertThat(monitor.available(reactivated), is(true));
  }

  @Test
  void probeTimeoutIsExtendedWhileTheServiceRespondsLate() {
    monitor.probeSent(SECOND);
    for (int response = 0; response < 50; response++) {
      serviceDelay.addSample(SECOND, SECOND / 2);
    }
    assertThat(monitor.checkProbeTimeout(SECOND + PROBE_RESPONSE_MICROS), is(false));
    assertThat(monitor.checkProbeTimeout(SECOND + PROBE_RESPONSE_MICROS + SECOND), is(true));
  }

  private static long micros(RoutingParameter parameter) {
    return RoutingPolicy.DEFAULT.micros(parameter);
  }
}
