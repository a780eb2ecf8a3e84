package slateslip.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;
import slateslip.routing.policy.RoutingPolicy;
import slateslip.routing.quota.QuotaBounds;
import slateslip.routing.retry.RetryBounds;

/** If a key lease is required, requests with keys are sent only while the lease is held. */
class KeyLeaseTest {
  private static final long SECOND = 1_000_000;

  private final List<RouterOutput> outputs = new ArrayList<>();
  private FleetRouter router;
  private long requests;

  private void start(boolean keyLeaseRequired) {
    router =
        new FleetRouter(
            new RouterSettings(
                "z0",
                1,
                RetryBounds.DEFAULT,
                QuotaBounds.DEFAULT,
                RoutingPolicy.DEFAULT,
                keyLeaseRequired,
                RouterSettings.DEFAULT_HEARTBEAT_MICROS));
    router.handle(0, new RouterInput.TableChanged(Fixtures.table()));
    router.handle(
        0,
        new RouterInput.BackendsChanged(
            List.of(
                Fixtures.backend("m1", Fixtures.LOG_SERVICE, "z0"),
                Fixtures.backend("m2", Fixtures.LOG_SERVICE, "z0"))));
  }

  private void extendTo(long micros) {
    router.handle(0, new RouterInput.KeyLeaseExtended(micros));
  }

  private long request(long now) {
    outputs.clear();
    outputs.addAll(
        router.handle(
            now, new RouterInput.RequestArrived(++requests, Fixtures.attributes("/i/x"))));
    return requests;
  }

  private void endAttempt(long now, long request, Kind kind) {
    outputs.clear();
    outputs.addAll(
        router.handle(
            now, new RouterInput.AttemptEnded(request, 0, new AttemptOutcome(kind, 0), null, -1)));
  }

  private <T> List<T> outputsOf(Class<T> kind) {
    return outputs.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private void assertRefusedWithoutAttempt() {
    assertThat(outputsOf(RouterOutput.SendAttempt.class), is(empty()));
    assertThat(outputsOf(RouterOutput.Respond.class).get(0).status(), is(503));
  }

  @Test
  void requestIsSentWithoutALeaseIfNoneIsRequired() {
    start(false);
    request(SECOND);
    assertThat(outputsOf(RouterOutput.SendAttempt.class), hasSize(1));
  }

  @Test
  void requestIsRefusedBeforeTheFirstLease() {
    start(true);
    request(SECOND);
    assertRefusedWithoutAttempt();
  }

  @Test
  void requestsAreSentUntilTheLeaseEnds() {
    start(true);
    extendTo(5 * SECOND);
    request(5 * SECOND - 1);
    assertThat(outputsOf(RouterOutput.SendAttempt.class), hasSize(1));
    request(5 * SECOND);
    assertRefusedWithoutAttempt();
  }

  @Test
  void retryIsRefusedAfterTheLeaseEnds() {
    start(true);
    extendTo(2 * SECOND);
    long sent = request(SECOND);
    endAttempt(3 * SECOND, sent, Kind.NOT_EXECUTED);
    assertRefusedWithoutAttempt();
  }

  @Test
  void withheldAttemptIsRefusedAfterTheLeaseEnds() {
    start(true);
    extendTo(2 * SECOND);
    long sent = request(SECOND);
    endAttempt(3 * SECOND, sent, Kind.WITHHELD);
    assertRefusedWithoutAttempt();
  }

  @Test
  void withheldAttemptIsRetriedWhileARenewedLeaseIsHeld() {
    start(true);
    extendTo(2 * SECOND);
    long sent = request(SECOND);
    extendTo(9 * SECOND);
    endAttempt(3 * SECOND, sent, Kind.WITHHELD);
    assertThat(outputsOf(RouterOutput.SendAttempt.class), hasSize(1));
  }

  @Test
  void extensionToAnEarlierTimeDoesNotShortenTheLease() {
    start(true);
    extendTo(5 * SECOND);
    extendTo(3 * SECOND);
    request(4 * SECOND);
    assertThat(outputsOf(RouterOutput.SendAttempt.class), hasSize(1));
  }
}
