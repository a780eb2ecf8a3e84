package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Request;

/**
 * Tests invalid calls: the validating load balancer throws an exception, and the plain load
 * balancer ignores the call, as the README states.
 */
class ValidatingLoadBalancerTest {
  private static final double[] NO_LOAD = new double[0];
  private final FakeHost host = new FakeHost(FakeHost.safeSettings());
  private final LoadBalancer validating =
      new ValidatingLoadBalancer(FakeHost.safeSettings(), 1, host.now, host);

  private Request request(long id, int requestClass) {
    return new Request(id, requestClass, 0, 0, 0, host.now + FakeHost.SECOND, false, false);
  }

  private void listTwo(LoadBalancer balancer) {
    balancer.servers(
        host.now, ListKind.FULL, List.of(FakeHost.server(1, 0), FakeHost.server(2, 0)));
  }

  private static String message(
      Class<? extends Exception> type, org.junit.jupiter.api.function.Executable invalidCall) {
    return assertThrows(type, invalidCall).getMessage();
  }

  @Test
  void validCallsAreDelegated() {
    listTwo(validating);
    validating.request(host.now, request(5, 0));
    assertEquals(1, host.sends(5).size());
    validating.outcome(host.now, 5, 0, host.target(5), Outcome.OK, 100, true, NO_LOAD);
    validating.request(host.now, request(5, 0));
    assertEquals(2, host.sends(5).size(), "an id may be reused after its request has ended");
  }

  @Test
  void nullArgumentsAreNamedInTheException() {
    assertEquals(
        "settings",
        message(NullPointerException.class, () -> new ValidatingLoadBalancer(null, 1, 0, host)));
    assertEquals(
        "actions",
        message(
            NullPointerException.class,
            () -> new ValidatingLoadBalancer(FakeHost.safeSettings(), 1, 0, null)));
    assertEquals(
        "request", message(NullPointerException.class, () -> validating.request(host.now, null)));
    assertEquals(
        "entries",
        message(
            NullPointerException.class, () -> validating.servers(host.now, ListKind.FULL, null)));
    assertEquals(
        "an entry",
        message(
            NullPointerException.class,
            () -> validating.servers(host.now, ListKind.FULL, Collections.singletonList(null))));
    assertEquals(
        "kind",
        message(NullPointerException.class, () -> validating.servers(host.now, null, List.of())));
    assertEquals(
        "outcome",
        message(
            NullPointerException.class, () -> validating.probed(host.now, 1, null, 0, NO_LOAD)));
    assertEquals(
        "load",
        message(
            NullPointerException.class, () -> validating.probed(host.now, 1, Outcome.OK, 0, null)));
    assertEquals(
        "message",
        message(NullPointerException.class, () -> validating.message(host.now, 1, null)));
  }

  @Test
  void timeThatRunsBackwardsIsRejected() {
    validating.timer(host.now + 10, 99);
    assertEquals(
        "time runs backwards: " + (host.now + 9) + " after " + (host.now + 10),
        message(IllegalArgumentException.class, () -> validating.timer(host.now + 9, 99)));
  }

  @Test
  void duplicateIdsAndUnknownClassesAreRejected() {
    validating.request(host.now, request(5, 0));
    assertEquals(
        "request 5 was reported before",
        message(IllegalArgumentException.class, () -> validating.request(host.now, request(5, 0))));
    assertThrows(
        IndexOutOfBoundsException.class, () -> validating.request(host.now, request(6, 1)));
  }

  @Test
  void unknownAndRepeatedOutcomesAreReported() {
    listTwo(validating);
    assertEquals(
        "request 4 is unknown or has ended",
        message(
            IllegalArgumentException.class,
            () -> validating.outcome(host.now, 4, 0, 1, Outcome.OK, 1, true, NO_LOAD)));
    validating.request(host.now, request(5, 0));
    assertThrows(
        IndexOutOfBoundsException.class,
        () -> validating.outcome(host.now, 5, 1, 1, Outcome.OK, 1, true, NO_LOAD));
    validating.outcome(host.now, 5, 0, host.target(5), Outcome.ERROR, 1, false, NO_LOAD);
    assertEquals(
        "attempt 0 of request 5 has ended",
        message(
            IllegalArgumentException.class,
            () -> validating.outcome(host.now, 5, 0, 1, Outcome.OK, 1, true, NO_LOAD)));
  }

  @Test
  void actionThatCallsTheLoadBalancerIsRejected() {
    LoadBalancer[] self = new LoadBalancer[1];
    FakeHost reentrantHost =
        new FakeHost(FakeHost.safeSettings()) {
          @Override
          public void send(long request, long server, long timeout) {
            self[0].timer(now, 1);
          }
        };
    self[0] =
        new ValidatingLoadBalancer(FakeHost.safeSettings(), 1, reentrantHost.now, reentrantHost);
    listTwo(self[0]);
    assertEquals(
        "an action must not call the load balancer",
        message(
            IllegalStateException.class, () -> self[0].request(reentrantHost.now, request(5, 0))));
  }

  @Test
  void plainLoadBalancerIgnoresUnknownIds() {
    listTwo(host.balancer);
    long id = host.request();
    long server = host.target(id);
    host.complete(id, 0, Outcome.OK, 100);
    List<FakeHost.RecordedAction> before = List.copyOf(host.actions);
    host.balancer.outcome(host.now, id, 0, server, Outcome.TIMEOUT, 100, false, NO_LOAD);
    host.balancer.outcome(host.now, 777, 0, server, Outcome.OK, 100, true, NO_LOAD);
    host.balancer.clientLeft(host.now, 777);
    host.balancer.streamStarted(host.now, 777, 0, server, 1);
    host.balancer.probed(host.now, 777, Outcome.TIMEOUT, 1, NO_LOAD);
    host.balancer.timer(host.now, 777);
    host.balancer.message(host.now, 3, new byte[] {1});
    assertEquals(before, host.actions);
  }

  @Test
  void plainLoadBalancerToleratesClockThatStepsBack() {
    listTwo(host.balancer);
    host.serve(1000);
    host.now -= 30 * FakeHost.SECOND;
    for (int i = 0; i < 20; i++) {
      host.serve(1000);
    }
    host.advance(60 * FakeHost.SECOND);
    host.serve(1000);
    assertEquals(22, host.actions("send").size());
    assertTrue(Arrays.asList("refuse", "fail").stream().allMatch(w -> host.actions(w).isEmpty()));
  }
}
