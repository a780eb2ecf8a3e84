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

/** When discovery is asked where it must be: in time, and not by all at once. */
class DiscoveryPollingTest {
  private static final long SECOND = FakeHost.SECOND;

  /**
   * What the protocol leaves from a change, or the return of discovery, until it counts as told.
   */
  private static final long TOLD = 6 * SECOND;

  /**
   * By the settings of {@link FakeHost}, 10 s: a quarter of the time within which an agent has to
   * ask.
   */
  private static final long SPREAD = 10 * SECOND / 4;

  private static final int AGENTS = 20;

  private static FakeHost agent(long seed) {
    return new FakeHost(
        FakeHost.settings(
            List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
            new Permits(3, false, true, true, false, 0),
            1,
            AGENTS,
            true,
            false,
            List.of()),
        seed);
  }

  private static int calls(FakeHost host) {
    return host.all("watch").size();
  }

  /** Moves the clock on until the next call, and returns how long that took. */
  private static long untilCall(FakeHost host) {
    int before = calls(host);
    long from = host.now;
    while (calls(host) == before) {
      assertTrue(host.now - from < TOLD, "no call for 6 s");
      host.pass(FakeHost.TICK);
    }
    return host.now - from;
  }

  @Test
  void theFirstCallsOfAgentsThatStartTogetherAreSpread() {
    List<Long> firsts = new ArrayList<>();
    for (long seed = 1; seed <= 100; seed++) {
      FakeHost host = agent(seed);
      assertEquals(0, calls(host));
      firsts.add(untilCall(host));
      host.pass(TOLD);
      assertEquals(1, calls(host), "one call is enough where it is answered");
    }
    assertTrue(firsts.stream().allMatch(each -> each <= SPREAD + FakeHost.TICK), firsts.toString());
    for (long from = 0; from < SPREAD; from += SPREAD / 5) {
      long part = from;
      long n = firsts.stream().filter(each -> each >= part && each < part + SPREAD / 5).count();
      assertTrue(n >= 10 && n <= 30, n + " of 100 in the fifth of the time from " + from);
    }
  }

  /**
   * Failed before: the waits grew to 5 s. What changes between two calls that fail is told by the
   * next that is answered; a second of the six is left for that after any two.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void anyTwoWaitsInARowAreOverInTimeForAChangeToBeKnown(long seed) {
    FakeHost host = agent(seed);
    untilCall(host);
    long before = 0;
    for (int i = 0; i < 200; i++) {
      host.list(ListKind.FAILED);
      long wait = untilCall(host);
      assertTrue(wait >= SECOND / 2, "a discovery in trouble is not flooded");
      assertTrue(before + wait <= TOLD - SECOND + 2 * FakeHost.TICK, before + " and " + wait);
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
      host.full(FakeHost.server(1, 0));
      host.list(ListKind.FAILED);
      assertTrue(untilCall(host) <= 5 * SECOND / 2 + FakeHost.TICK);
    }
  }

  /**
   * When each agent has its response from a discovery that takes calls in turn, and how many were
   * rejected.
   */
  private record Fleet(List<Long> responded, int turnedAway) {
    /**
     * As the simulator's pages have discovery: calls wait in turn, and fail when that takes too
     * long.
     *
     * @param service how long it takes over one call
     * @param downFor how long it cannot be reached at first
     */
    static Fleet play(long service, long downFor) {
      List<FakeHost> hands = new ArrayList<>();
      for (int i = 0; i < AGENTS; i++) {
        hands.add(agent(100 + i));
      }
      List<Long> responded = new ArrayList<>();
      int turnedAway = 0;
      long freeAt = 0;
      for (long at = 0; responded.size() < AGENTS; at += FakeHost.TICK) {
        assertTrue(at < downFor + 10 * TOLD, "not all are answered");
        for (FakeHost host : hands) {
          int before = calls(host);
          host.pass(FakeHost.TICK);
          if (calls(host) == before) {
            continue;
          }
          if (at >= downFor && freeAt - at <= 2 * SECOND) {
            freeAt = Math.max(freeAt, at) + service;
            responded.add(freeAt);
          } else {
            turnedAway += at >= downFor ? 1 : 0;
            host.list(ListKind.FAILED);
          }
        }
      }
      return new Fleet(responded, turnedAway);
    }
  }

  /**
   * Failed before: twenty calls of 150 ms in one moment are 3 s of work, and a third was turned
   * away.
   */
  @Test
  void agentsThatStartTogetherAreAllAnswered() {
    Fleet fleet = Fleet.play(150_000, 0);
    assertEquals(0, fleet.turnedAway);
    assertTrue(fleet.responded.stream().allMatch(each -> each <= TOLD), fleet.toString());
  }

  /** Discovery is down for 8 s, and all have called in vain again and again when it returns. */
  @Test
  void agentsRecoverListAfterDiscoveryReturns() {
    Fleet fleet = Fleet.play(150_000, 8 * SECOND);
    assertTrue(
        fleet.responded.stream().allMatch(each -> each <= 8 * SECOND + TOLD), fleet.toString());
  }
}
