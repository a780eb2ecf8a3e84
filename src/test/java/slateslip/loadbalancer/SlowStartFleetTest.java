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
 * Tests the request limit of servers in warm-up for the sum of all agents, which share one clock.
 * In any time window of the overload time, the budget of a server in warm-up is N = overload
 * multiple x its capacity at the start of the window x overload time. The test allows 2 x sqrt(N) +
 * 2 more requests for chance.
 */
class SlowStartFleetTest {
  private static final long SECOND = FakeHost.SECOND;
  private static final long STEP = 4 * FakeHost.TICK;
  private static final int WARM_SERVERS = 4;
  private static final long WARMING_SERVER = 99;

  /**
   * Requests per second that a warm server receives in steady traffic; the test takes this rate for
   * its capacity.
   */
  private static final double CAPACITY = 5;

  private static final LoadBalancer.Obligations OBLIGATIONS = FakeHost.safeSettings().obligations();

  /** A request in flight and the time of its response. */
  private record InFlight(FakeHost host, long id, long endsAt) {}

  private final List<FakeHost> hosts = new ArrayList<>();
  private final List<InFlight> inFlight = new ArrayList<>();
  private final List<Long> sentWhileWarmingUp = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(5);
  private long now;
  private long warmupStart = Long.MAX_VALUE;

  private double warmupFraction(long at) {
    double share = Math.min(1, (double) (at - warmupStart) / OBLIGATIONS.warmupTime());
    return OBLIGATIONS.warmupStartFraction() + (1 - OBLIGATIONS.warmupStartFraction()) * share;
  }

  private void startAgents(int agents) {
    Server[] list = new Server[WARM_SERVERS];
    for (int i = 0; i < WARM_SERVERS; i++) {
      list[i] = FakeHost.server(i + 1, 0);
    }
    for (int i = 0; i < agents; i++) {
      hosts.add(
          new FakeHost(
                  FakeHost.settings(
                      List.of(FakeHost.requestClass(Semantics.SAFE, Scope.ALL)),
                      new Permits(4, false, true, false, false, 0),
                      1,
                      agents,
                      false,
                      true,
                      List.of()),
                  i)
              .fullList(list));
    }
    now = hosts.get(0).now;
  }

  private void addWarmingServer() {
    warmupStart = now;
    hosts.forEach(
        each -> each.list(ListKind.DELTA, FakeHost.server(WARMING_SERVER, 0, Phase.READY, now)));
  }

  private void request(FakeHost host, long work) {
    // The key selects the server, so that the requests reach all servers.
    long id = host.request(0, 1 + random.nextLong(1000));
    if (host.target(id) == WARMING_SERVER) {
      sentWhileWarmingUp.add(now);
    }
    if (host.target(id) >= 0) {
      inFlight.add(
          new InFlight(
              host,
              id,
              now
                  + (long)
                      (host.target(id) == WARMING_SERVER ? work / warmupFraction(now) : work)));
    }
  }

  /**
   * Advances all agents by a time in microseconds; each response arrives after the work time of the
   * request, which is longer at the server in warm-up.
   */
  private void advance(long micros, double perSecond, long work) {
    for (long end = now + micros; now < end; ) {
      for (FakeHost host : hosts) {
        if (random.nextDouble() < perSecond / hosts.size() * STEP / SECOND) {
          request(host, work);
        }
        host.advance(STEP);
      }
      now += STEP;
      inFlight.removeIf(
          request -> {
            boolean over = request.endsAt() <= now;
            if (over) {
              request.host().complete(request.id(), 0, Outcome.OK, work);
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
              * warmupFraction(from)
              * OBLIGATIONS.overloadTime()
              / SECOND;
      assertTrue(
          sent <= budget + 2 * Math.sqrt(budget) + 2,
          sent
              + " requests sent in the window that starts "
              + (from - warmupStart) / 1000
              + " ms after the start of the warm-up, budget "
              + budget);
    }
  }

  @ParameterizedTest
  @CsvSource({"20, 20000", "30, 20000", "20, 200000", "30, 200000"})
  void steadyTrafficStaysWithinBudget(int agents, long work) {
    startAgents(agents);
    advance(10 * SECOND, WARM_SERVERS * CAPACITY, work);
    addWarmingServer();
    advance(15 * SECOND, WARM_SERVERS * CAPACITY, work);
    assertWithinBudget();
    assertTrue(
        sentWhileWarmingUp.size() > CAPACITY,
        "the server in warm-up receives too few requests: " + sentWhileWarmingUp.size());
  }

  @ParameterizedTest
  @CsvSource({"20, 2", "30, 2", "20, 8", "30, 8", "30, 14"})
  void simultaneousBurstsOfAllAgentsStayWithinBudget(int agents, int seconds) {
    startAgents(agents);
    advance(10 * SECOND, WARM_SERVERS * CAPACITY, 20_000);
    addWarmingServer();
    advance(seconds * SECOND, WARM_SERVERS * CAPACITY, 20_000);
    for (int i = 0; i < 10; i++) {
      hosts.forEach(each -> request(each, 20_000));
    }
    advance(2 * SECOND, 3 * WARM_SERVERS * CAPACITY, 20_000);
    assertWithinBudget();
  }

  /**
   * Guards against saved-up credit: while the server was too early in its warm-up for long
   * requests, each agent accumulated credit for one request, and in a burst all agents sent that
   * request to the server at the same moment.
   */
  @ParameterizedTest
  @CsvSource({"20", "30"})
  void agentsThatSkippedWarmingServerDoNotAllUseItAtOnce(int agents) {
    startAgents(agents);
    advance(10 * SECOND, WARM_SERVERS * CAPACITY, 600_000);
    addWarmingServer();
    advance(10 * SECOND, WARM_SERVERS * CAPACITY, 600_000);
    advance(SECOND / 2, 0, 600_000); // pending responses arrive, and the warm-up has progressed
    for (int i = 0; i < 10; i++) {
      hosts.forEach(each -> request(each, 600_000));
    }
    advance(2 * SECOND, 2 * WARM_SERVERS * CAPACITY, 600_000);
    assertWithinBudget();
  }
}
