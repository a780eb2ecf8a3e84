package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.LoadBalancer.Server;

/**
 * The rule on servers that are warming up for the sum of all agents, on one clock. A server that is
 * warming up's budget in a window of the settings' length is N = fall-multiple x its capacity at
 * the window's start x that length; beyond N only 2 x root of N + 2 requests are put down to
 * chance.
 */
class SlowStartFleetTest {
  private static final long SECOND = FakeHost.SECOND;
  private static final long STEP = 4 * FakeHost.TICK;
  private static final int WARM = 4;
  private static final long WARMING_UP = 99;

  /**
   * What a warm server answers a second while all is steady: it is taken for the capacity of each.
   */
  private static final double CAPACITY = 5;

  private static final LoadBalancer.Obligations OBLIGATIONS = FakeHost.safe().obligations();

  /** A request out: when it will be answered. */
  private record Out(FakeHost host, long id, long until) {}

  private final List<FakeHost> hands = new ArrayList<>();
  private final List<Out> outs = new ArrayList<>();
  private final List<Long> sentWhileWarmingUp = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(5);
  private long now;
  private long warmupStart = Long.MAX_VALUE;

  private double warmth(long at) {
    double share = Math.min(1, (double) (at - warmupStart) / OBLIGATIONS.warmupTime());
    return OBLIGATIONS.warmupStartFraction() + (1 - OBLIGATIONS.warmupStartFraction()) * share;
  }

  private void start(int agents) {
    Server[] list = new Server[WARM];
    for (int i = 0; i < WARM; i++) {
      list[i] = FakeHost.server(i + 1, 0);
    }
    for (int i = 0; i < agents; i++) {
      hands.add(
          new FakeHost(
                  FakeHost.settings(
                      List.of(FakeHost.type(Semantics.SAFE, Scope.ALL)),
                      new Permits(4, false, true, false, false, 0),
                      1,
                      agents,
                      false,
                      true,
                      List.of()),
                  i)
              .full(list));
    }
    now = hands.get(0).now;
  }

  private void join() {
    warmupStart = now;
    hands.forEach(
        each -> each.list(ListKind.DELTA, FakeHost.server(WARMING_UP, 0, Phase.READY, now)));
  }

  private void request(FakeHost host, long work) {
    long id =
        host.request(0, 1 + random.nextLong(1000)); // by their keys requests go to servers of all
    if (host.target(id) == WARMING_UP) {
      sentWhileWarmingUp.add(now);
    }
    if (host.target(id) >= 0) {
      outs.add(
          new Out(
              host, id, now + (long) (host.target(id) == WARMING_UP ? work / warmth(now) : work)));
    }
  }

  /** All agents go on for so long, each request in the hands of a server for its work. */
  private void pass(long micros, double perSecond, long work) {
    for (long end = now + micros; now < end; ) {
      for (FakeHost host : hands) {
        if (random.nextDouble() < perSecond / hands.size() * STEP / SECOND) {
          request(host, work);
        }
        host.pass(STEP);
      }
      now += STEP;
      outs.removeIf(
          out -> {
            boolean over = out.until() <= now;
            if (over) {
              out.host().end(out.id(), 0, Outcome.OK, work);
            }
            return over;
          });
    }
  }

  private void assertWithinBudget() {
    for (int first = 0; first < sentWhileWarmingUp.size(); first++) {
      long from = sentWhileWarmingUp.get(first);
      long sent =
          sentWhileWarmingUp.stream()
              .filter(at -> at >= from && at < from + OBLIGATIONS.overloadTime())
              .count();
      double budget =
          OBLIGATIONS.overloadMultiple()
              * CAPACITY
              * warmth(from)
              * OBLIGATIONS.overloadTime()
              / SECOND;
      assertTrue(
          sent <= budget + 2 * Math.sqrt(budget) + 2,
          sent + " sent from " + (from - warmupStart) / 1000 + " ms on, budget " + budget);
    }
  }

  @ParameterizedTest
  @CsvSource({"20, 20000", "30, 20000", "20, 200000", "30, 200000"})
  void inSteadyTrafficTheSumKeepsToTheBudget(int agents, long work) {
    start(agents);
    pass(10 * SECOND, WARM * CAPACITY, work);
    join();
    pass(15 * SECOND, WARM * CAPACITY, work);
    assertWithinBudget();
    assertTrue(sentWhileWarmingUp.size() > CAPACITY, "it is starved: " + sentWhileWarmingUp.size());
  }

  @ParameterizedTest
  @CsvSource({"20, 2", "30, 2", "20, 8", "30, 8", "30, 14"})
  void aBurstOfAllAtOnceKeepsToTheBudget(int agents, int seconds) {
    start(agents);
    pass(10 * SECOND, WARM * CAPACITY, 20_000);
    join();
    pass(seconds * SECOND, WARM * CAPACITY, 20_000);
    for (int i = 0; i < 10; i++) {
      hands.forEach(each -> request(each, 20_000));
    }
    pass(2 * SECOND, 3 * WARM * CAPACITY, 20_000);
    assertWithinBudget();
  }

  /**
   * Failed before: while it was too cold for work that takes long, each agent saved up a request
   * for it, and a burst had all of them turn to it in the same moment.
   */
  @ParameterizedTest
  @CsvSource({"20", "30"})
  void agentsThatCouldNotUseItForSecondsDoNotAllTurnToItAtOnce(int agents) {
    start(agents);
    pass(10 * SECOND, WARM * CAPACITY, 600_000);
    join();
    pass(10 * SECOND, WARM * CAPACITY, 600_000);
    pass(SECOND / 2, 0, 600_000); // answers come, and now it is warm enough
    for (int i = 0; i < 10; i++) {
      hands.forEach(each -> request(each, 600_000));
    }
    pass(2 * SECOND, 2 * WARM * CAPACITY, 600_000);
    assertWithinBudget();
  }
}
