package slateslip.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.distribution.BackendSession;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;
import slateslip.routing.quota.QuotaBounds;
import slateslip.routing.retry.RetryBounds;

/**
 * The silence of a backend never ends a stream, but a second attempt at another backend may resume
 * the stream.
 */
class IdleStreamTest {
  private static final long REQUEST = 1;
  private static final long SECOND = 1_000_000;
  private static final RetryBounds NO_RETRIES = new RetryBounds(0, 10 * SECOND, 0);

  private final List<RouterOutput> outputs = new ArrayList<>();
  private FleetRouter router;
  private long now;

  /**
   * Starts a router with this number of backends, and a stream whose first events were forwarded.
   */
  private void beginStream(RetryBounds retries, int backends) {
    router = new FleetRouter(new RouterSettings("z0", 1, retries, QuotaBounds.DEFAULT));
    List<BackendSession> sessions = new ArrayList<>();
    for (int i = 0; i < backends; i++) {
      sessions.add(Fixtures.backend("m" + i, Fixtures.MODEL_SERVICE, "z0"));
    }
    feed(new RouterInput.TableChanged(Fixtures.table()));
    feed(new RouterInput.BackendsChanged(sessions));
    // More than one window after its start, the process may use its whole share of the retry
    // budget.
    now += 20 * SECOND;
    feed(new RouterInput.RequestArrived(REQUEST, Fixtures.attributes("/s/x")));
    feed(new RouterInput.AttemptStarted(REQUEST, 0, null));
    outputs.clear();
    now += SECOND;
  }

  private void feed(RouterInput input) {
    outputs.addAll(router.handle(now, input));
  }

  private void endAttempt(int attempt, Kind kind) {
    feed(new RouterInput.AttemptEnded(REQUEST, attempt, new AttemptOutcome(kind, 0), null, 4));
  }

  private <T> List<T> takeOutputs(Class<T> kind) {
    List<T> taken = outputs.stream().filter(kind::isInstance).map(kind::cast).toList();
    outputs.clear();
    return taken;
  }

  @Test
  void idleStreamContinuesIfThereIsNoOtherBackend() {
    beginStream(RetryBounds.DEFAULT, 1);
    feed(new RouterInput.StreamIdle(REQUEST, 0));
    assertThat(takeOutputs(RouterOutput.AbortConnection.class), is(empty()));
    feed(new RouterInput.StreamIdle(REQUEST, 0));
    assertThat(takeOutputs(RouterOutput.CancelAttempt.class), is(empty()));
  }

  @Test
  void idleStreamContinuesIfTheRetryBudgetIsExhausted() {
    beginStream(NO_RETRIES, 3);
    feed(new RouterInput.StreamIdle(REQUEST, 0));
    assertThat(outputs.stream().anyMatch(RouterOutput.SendAttempt.class::isInstance), is(false));
    assertThat(takeOutputs(RouterOutput.AbortConnection.class), is(empty()));
  }

  @Test
  void idleStreamIsSentToASecondBackendOnce() {
    beginStream(RetryBounds.DEFAULT, 3);
    feed(new RouterInput.StreamIdle(REQUEST, 0));
    assertThat(outputs.stream().anyMatch(RouterOutput.CancelAttempt.class::isInstance), is(false));
    List<RouterOutput.SendAttempt> sent = takeOutputs(RouterOutput.SendAttempt.class);
    assertThat(sent.size(), is(1));
    assertThat(sent.get(0).resumeAfter(), is(RouterOutput.AFTER_LAST_EVENT));
    feed(new RouterInput.StreamIdle(REQUEST, 0));
    assertThat(takeOutputs(RouterOutput.SendAttempt.class), is(empty()));
  }

  @Test
  void progressOfTheSecondAttemptCancelsTheFirst() {
    beginStream(RetryBounds.DEFAULT, 3);
    feed(new RouterInput.StreamIdle(REQUEST, 0));
    outputs.clear();
    feed(new RouterInput.AttemptStarted(REQUEST, 1, null));
    assertThat(
        takeOutputs(RouterOutput.CancelAttempt.class),
        contains(new RouterOutput.CancelAttempt(REQUEST, 0)));
    endAttempt(0, Kind.CANCELLED);
    assertThat(takeOutputs(RouterOutput.AbortConnection.class), is(empty()));
  }

  @Test
  void progressOfTheFirstAttemptCancelsTheSecond() {
    beginStream(RetryBounds.DEFAULT, 3);
    feed(new RouterInput.StreamIdle(REQUEST, 0));
    outputs.clear();
    feed(new RouterInput.AttemptStarted(REQUEST, 0, null));
    assertThat(
        takeOutputs(RouterOutput.CancelAttempt.class),
        contains(new RouterOutput.CancelAttempt(REQUEST, 1)));
  }

  @Test
  void failureOfTheSecondAttemptKeepsTheFirst() {
    for (Kind kind : List.of(Kind.NOT_EXECUTED, Kind.NOT_SENT, Kind.BROKEN, Kind.ERROR_RESPONSE)) {
      beginStream(RetryBounds.DEFAULT, 3);
      feed(new RouterInput.StreamIdle(REQUEST, 0));
      outputs.clear();
      endAttempt(1, kind);
      assertThat(takeOutputs(RouterOutput.AbortConnection.class), is(empty()));
      endAttempt(0, Kind.SUCCESS);
      assertThat(takeOutputs(RouterOutput.AbortConnection.class), is(empty()));
    }
  }

  @Test
  void streamIsAbortedOnlyAfterBothAttemptsBreak() {
    beginStream(RetryBounds.DEFAULT, 3);
    feed(new RouterInput.StreamIdle(REQUEST, 0));
    outputs.clear();
    endAttempt(0, Kind.BROKEN);
    assertThat(takeOutputs(RouterOutput.AbortConnection.class), is(empty()));
    endAttempt(1, Kind.BROKEN);
    assertThat(takeOutputs(RouterOutput.AbortConnection.class), is(not(empty())));
  }
}
