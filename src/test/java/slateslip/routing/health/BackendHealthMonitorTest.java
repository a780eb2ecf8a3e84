package slateslip.routing.health;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.policy.BackendHealth;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

class BackendHealthMonitorTest {
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000 * MILLI;
  private static final List<BackendHealth> NO_PEERS = List.of();

  private static final long IDLE_PROBE_MICROS = micros(RoutingParameter.IDLE_PROBE_MILLIS);
  private static final long PROBE_REPLY_MICROS = micros(RoutingParameter.PROBE_REPLY_MILLIS);
  private static final long SUSPECT_PROBE_MICROS = micros(RoutingParameter.SUSPECT_PROBE_MILLIS);
  private static final long REACTIVATION_MICROS = micros(RoutingParameter.REACTIVATION_MILLIS);

  private final ServiceDelay serviceDelay = new ServiceDelay(RoutingPolicy.DEFAULT);
  private final BackendHealthMonitor watch =
      new BackendHealthMonitor(0, serviceDelay, RoutingPolicy.DEFAULT);

  @Test
  void failedConnectionSuspectsUntilProbe() {
    watch.connectFailed(SECOND, NO_PEERS);
    assertThat(watch.trusted(SECOND), is(false));
    assertThat("still available", watch.available(SECOND), is(true));
    assertThat("probed at once", watch.probeDue(SECOND, IDLE_PROBE_MICROS), is(true));
    watch.probeSent(SECOND);
    watch.probeSucceeded(SECOND + 2 * MILLI);
    assertThat(watch.trusted(SECOND + 2 * MILLI), is(true));
  }

  @Test
  void oneBrokenAnswerIsNoReasonButTwoInARowAre() {
    watch.requestBroken(SECOND, NO_PEERS);
    assertThat(watch.trusted(SECOND), is(true));
    assertThat("but it is probed", watch.probeDue(SECOND, IDLE_PROBE_MICROS), is(true));
    watch.requestSucceeded(SECOND + MILLI);
    watch.requestBroken(SECOND + 2 * MILLI, NO_PEERS);
    assertThat(watch.trusted(SECOND + 2 * MILLI), is(true));
    watch.requestBroken(SECOND + 3 * MILLI, NO_PEERS);
    assertThat(watch.trusted(SECOND + 3 * MILLI), is(false));
  }

  @Test
  void twoFailedProbesMakeUnhealthyOneSuccessHealthy() {
    watch.probeSent(SECOND);
    watch.probeFailed();
    assertThat(watch.available(SECOND), is(true));
    watch.probeSent(2 * SECOND);
    watch.probeFailed();
    assertThat(watch.available(2 * SECOND), is(false));
    watch.probeSent(3 * SECOND);
    watch.probeSucceeded(3 * SECOND);
    assertThat(watch.available(3 * SECOND), is(true));
  }

  @Test
  void probesThatTimeOutAtABusyBackendProveNothing() {
    for (int i = 1; i <= 5; i++) {
      watch.probeSent(i * SECOND);
      watch.requestSucceeded(i * SECOND + MILLI);
      watch.probeTimedOut();
    }
    assertThat(watch.trusted(6 * SECOND), is(true));
  }

  @Test
  void probesThatTimeOutInSilenceMakeItUnhealthy() {
    watch.probeSent(SECOND);
    watch.probeTimedOut();
    watch.probeSent(2 * SECOND);
    watch.probeTimedOut();
    assertThat(watch.available(2 * SECOND), is(false));
  }

  @Test
  void aProbeTurnedAwayShowsThatItLives() {
    watch.connectFailed(SECOND, NO_PEERS);
    watch.probeSent(SECOND);
    watch.probeRejected(SECOND + MILLI);
    assertThat(watch.trusted(SECOND + MILLI), is(true));
  }

  @Test
  void aProbeWithoutReplyRaisesSuspicionBeforeItTimesOut() {
    watch.requestProbe();
    assertThat(watch.probeDue(SECOND, IDLE_PROBE_MICROS), is(true));
    watch.probeSent(SECOND);
    assertThat(watch.checkProbeTimeout(SECOND + PROBE_REPLY_MICROS - 1), is(false));
    assertThat(watch.checkProbeTimeout(SECOND + PROBE_REPLY_MICROS), is(true));
    assertThat(watch.trusted(2 * SECOND), is(false));
  }

  @Test
  void checkIsDueWhenTheProbeIsOrItsReplyIsLate() {
    long idle = IDLE_PROBE_MICROS;
    watch.requestSucceeded(SECOND);
    assertThat(watch.nextCheckMicros(idle), is(SECOND + idle));
    watch.requestProbe();
    watch.probeSent(2 * SECOND);
    assertThat(watch.nextCheckMicros(idle), is(2 * SECOND + PROBE_REPLY_MICROS));
    watch.activity(2 * SECOND + MILLI);
    assertThat("it lives", watch.nextCheckMicros(idle), is(Long.MAX_VALUE));
  }

  @Test
  void trafficSparesProbes() {
    watch.requestSucceeded(7 * SECOND);
    assertThat(watch.probeDue(8 * SECOND, IDLE_PROBE_MICROS), is(false));
    assertThat(watch.probeDue(7 * SECOND + IDLE_PROBE_MICROS, IDLE_PROBE_MICROS), is(true));
  }

  @Test
  void aSuspectIsProbedAtItsPace() {
    watch.connectFailed(SECOND, NO_PEERS);
    watch.probeSent(SECOND);
    watch.probeFailed();
    assertThat(watch.probeDue(SECOND + SUSPECT_PROBE_MICROS - 1, IDLE_PROBE_MICROS), is(false));
    assertThat(watch.probeDue(SECOND + SUSPECT_PROBE_MICROS, IDLE_PROBE_MICROS), is(true));
  }

  @Test
  void failuresInWindowEjectUntilReactivation() {
    for (int i = 0; i < 6; i++) {
      watch.requestSucceeded(SECOND + i);
    }
    for (int i = 0; i < 3; i++) {
      watch.timedOut(SECOND + 10 + i, SECOND + 5, NO_PEERS);
    }
    assertThat("nine requests are too few", watch.available(2 * SECOND), is(true));
    watch.timedOut(SECOND + 20, SECOND + 5, NO_PEERS);
    assertThat(watch.available(2 * SECOND), is(false));
    long reactivated = SECOND + 20 + REACTIVATION_MICROS;
    assertThat(watch.available(reactivated - 1), is(false));
    assertThat(watch.available(reactivated), is(true));
  }

  @Test
  void whereAllBackendsAreLateAProbeIsWaitedForLonger() {
    watch.probeSent(SECOND);
    for (int response = 0; response < 50; response++) {
      serviceDelay.measured(SECOND, SECOND / 2);
    }
    assertThat(watch.checkProbeTimeout(SECOND + PROBE_REPLY_MICROS), is(false));
    assertThat(watch.checkProbeTimeout(SECOND + PROBE_REPLY_MICROS + SECOND), is(true));
  }

  private static long micros(RoutingParameter parameter) {
    return RoutingPolicy.DEFAULT.micros(parameter);
  }
}
