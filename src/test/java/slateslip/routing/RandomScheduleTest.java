package slateslip.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;

/** Seeded schedules against one or several routers; the checks are in {@link RandomHost}. */
class RandomScheduleTest {
  private static final int AGENTS = 6;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void eachRequestEndsOnceAndRunsOnceWhereItMust(long seed) {
    RandomHost host = new RandomHost(seed, AGENTS);
    host.load(60, 4 * RandomHost.SECOND);
    host.breakBackend("m1", Kind.TIMEOUT);
    host.breakBackend("l1", Kind.BROKEN);
    host.load(60, 7 * RandomHost.SECOND);
    host.drain("m2");
    host.drain("l2");
    host.load(60, 9 * RandomHost.SECOND);
    host.remove("m1");
    host.breakBackend("l1", null);
    host.load(60, 12 * RandomHost.SECOND);
    host.drainOut();
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void allBackendsDownAndBack(long seed) {
    RandomHost host = new RandomHost(seed, AGENTS);
    for (int i = 0; i < 6; i++) {
      host.breakBackend("m" + i, i % 2 == 0 ? Kind.NOT_SENT : Kind.NOT_EXECUTED);
      host.breakBackend("l" + i, Kind.BROKEN);
    }
    host.load(40, 5 * RandomHost.SECOND);
    for (int i = 0; i < 6; i++) {
      host.breakBackend("m" + i, null);
      host.breakBackend("l" + i, null);
    }
    host.load(40, 8 * RandomHost.SECOND);
    host.drainOut();
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void retriesOfAllRoutersTogetherStayWithinTheBudget(long seed) {
    List<RandomHost> hosts = new ArrayList<>();
    for (int agent = 0; agent < AGENTS; agent++) {
      RandomHost host = new RandomHost(seed * 100 + agent, AGENTS);
      host.load(20, 3 * RandomHost.SECOND);
      for (int i = 0; i < 6; i++) {
        host.breakBackend("m" + i, i < 4 ? Kind.NOT_EXECUTED : null);
        host.breakBackend("l" + i, i < 4 ? Kind.NOT_EXECUTED : null);
      }
      host.load(30, 25 * RandomHost.SECOND);
      host.drainOut();
      hosts.add(host);
    }
    assertThat(RandomHost.worstBeyondBudget(hosts, Fixtures.MODEL_SERVICE), lessThanOrEqualTo(0.0));
    assertThat(RandomHost.worstBeyondBudget(hosts, Fixtures.LOG_SERVICE), lessThanOrEqualTo(0.0));
    int sent = hosts.stream().mapToInt(host -> host.retries.get(Fixtures.LOG_SERVICE).size()).sum();
    assertThat("the budget is used", sent, greaterThan(100));
  }
}
