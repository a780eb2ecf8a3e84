package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;

/** Tests when agents that poll discovery call it: soon enough, and not all at once. */
class DiscoveryPollingTest {
  private static final long SECOND = FakeHost.SECOND;

  /**
   * Time limit of the protocol for an agent to receive a change, from the change or from the return
   * of discovery.
   */
  private static final long NOTIFICATION_LIMIT = 6 * SECOND;

  /**
   * Longest delay of the first call: a quarter of the 10 s within which an agent must call
   * discovery by the settings of {@link FakeHost}.
   */
  private static final long FIRST_CALL_SPREAD = 10 * SECOND / 4;

  private static final int AGENTS = 20;

  private static FakeHost agent(long seed) {
    return new FakeHost(
        FakeHost.settings(
            List.of(FakeHost.requestClass(Semantics.SAFE, Scope.ALL)),
            new Permits(3, false, true, true, false, 0),
            1,
            AGENTS,
            true,
            false,
            List.of()),
        seed);
  }

  private static int calls(FakeHost host) {
    return host.actions("watch").size();
  }

  /**
   * Advances the clock until the next call of discovery and returns the time until then in
   * microseconds.
   */
  private static long untilCall(FakeHost host) {
    int before = calls(host);
    long from = host.now;
    while (calls(host) == before) {
      assertTrue(host.now - from < NOTIFICATION_LIMIT, "discovery was not called for 6 s");
      host.advance(FakeHost.TICK);
    }
    return host.now - from;
  }

  @Test
  void firstCallsOfAgentsThatStartTogetherAreSpread() {
    List<Long> firstCalls = new ArrayList<>();
    for (long seed = 1; seed <= 100; seed++) {
      FakeHost host = agent(seed);
      assertEquals(0, calls(host));
      firstCalls.add(untilCall(host));
      host.advance(NOTIFICATION_LIMIT);
      assertEquals(1, calls(host), "the agent calls once if discovery responds");
    }
    assertTrue(
        firstCalls.stream().allMatch(each -> each <= FIRST_CALL_SPREAD + FakeHost.TICK),
        firstCalls.toString());
    for (long from = 0; from < FIRST_CALL_SPREAD; from += FIRST_CALL_SPREAD / 5) {
      long part = from;
      long n =
          firstCalls.stream()
              .filter(each -> each >= part && each < part + FIRST_CALL_SPREAD / 5)
              .count();
      assertTrue(
          n >= 10 && n <= 30,
          n + " of 100 first calls in the fifth of the interval that starts at " + from);
    }
  }

  /**
   * Guards against delays that grow too long; they once grew to 5 s. The next successful call
   * reports a change that happened between two failed calls. Any two consecutive delays must
   * therefore leave 1 s of the 6 s limit for that call.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void twoConsecutiveDelaysLeaveTimeToReceiveAChange(long seed) {
    FakeHost host = agent(seed);
    untilCall(host);
    long before = 0;
    for (int i = 0; i < 200; i++) {
      host.list(ListKind.FAILED);
      long wait = untilCall(host);
      assertTrue(
          wait >= SECOND / 2,
          "the delay after a failed call is at least 0.5 s, so that a failing discovery is not overloaded");
      assertTrue(
          before + wait <= NOTIFICATION_LIMIT - SECOND + 2 * FakeHost.TICK,
          before + " and " + wait);
      before = wait;
    }
  }

  @Test
  void responseResetsDelays() {
    FakeHost host = agent(1);
    untilCall(host);
    for (int i = 0; i < 200; i++) {
      host.list(ListKind.FAILED);
      untilCall(host);
      host.fullList(FakeHost.server(1, 0));
      host.list(ListKind.FAILED);
      assertTrue(untilCall(host) <= 5 * SECOND / 2 + FakeHost.TICK);
    }
  }

  /**
   * The times at which a discovery that serves one call at a time has responded to the agents, in
   * microseconds from the start, and the number of rejected calls.
   */
  private record Fleet(List<Long> responded, int rejected) {
    /**
     * Simulates discovery as the simulator documents it: calls are queued, and a call that would
     * wait more than 2 s fails.
     *
     * @param callDuration the time that discovery takes for one call, in microseconds
     * @param outage how long discovery is unreachable from the start, in microseconds
     */
    static Fleet simulate(long callDuration, long outage) {
      List<FakeHost> hosts = new ArrayList<>();
      for (int i = 0; i < AGENTS; i++) {
        hosts.add(agent(100 + i));
      }
      List<Long> responded = new ArrayList<>();
      int rejected = 0;
      long freeAt = 0;
      for (long at = 0; responded.size() < AGENTS; at += FakeHost.TICK) {
        assertTrue(at < outage + 10 * NOTIFICATION_LIMIT, "some agents have no response");
        for (FakeHost host : hosts) {
          int before = calls(host);
          host.advance(FakeHost.TICK);
          if (calls(host) == before) {
            continue;
          }
          if (at >= outage && freeAt - at <= 2 * SECOND) {
            freeAt = Math.max(freeAt, at) + callDuration;
            responded.add(freeAt);
          } else {
            rejected += at >= outage ? 1 : 0;
            host.list(ListKind.FAILED);
          }
        }
      }
      return new Fleet(responded, rejected);
    }
  }

  /**
   * Guards against simultaneous first calls: 20 calls of 150 ms each are 3 s of work, and a third
   * of them were rejected.
   */
  @Test
  void agentsThatStartTogetherAllGetAResponse() {
    Fleet fleet = Fleet.simulate(150_000, 0);
    assertEquals(0, fleet.rejected);
    assertTrue(
        fleet.responded.stream().allMatch(each -> each <= NOTIFICATION_LIMIT), fleet.toString());
  }

  /**
   * Checks the recovery after discovery was down for 8 s, in which the calls of all agents failed
   * repeatedly.
   */
  @Test
  void agentsRecoverListAfterDiscoveryReturns() {
    Fleet fleet = Fleet.simulate(150_000, 8 * SECOND);
    assertTrue(
        fleet.responded.stream().allMatch(each -> each <= 8 * SECOND + NOTIFICATION_LIMIT),
        fleet.toString());
  }
}
