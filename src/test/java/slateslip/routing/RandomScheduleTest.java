package slateslip.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;

/**
 * Runs seeded random schedules against one or several routers. {@link RandomHost} checks the
 * invariants.
 */
class RandomScheduleTest {
  private static final int DATA_PLANES = 6;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void everyRequestEndsOnceAndRunsOnceUnlessRepeatable(long seed) {
    RandomHost host = new RandomHost(seed, DATA_PLANES);
    host.runLoad(60, 4 * RandomHost.SECOND);
    host.forceOutcome("m1", Kind.TIMEOUT);
    host.forceOutcome("l1", Kind.BROKEN);
    host.runLoad(60, 7 * RandomHost.SECOND);
    host.drain("m2");
    host.drain("l2");
    host.runLoad(60, 9 * RandomHost.SECOND);
    host.remove("m1");
    host.forceOutcome("l1", null);
    host.runLoad(60, 12 * RandomHost.SECOND);
    host.runToCompletion();
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void everyRequestEndsOnceWhileAllBackendsFailAndRecover(long seed) {
    RandomHost host = new RandomHost(seed, DATA_PLANES);
    for (int i = 0; i < 6; i++) {
      host.forceOutcome("m" + i, i % 2 == 0 ? Kind.NOT_SENT : Kind.NOT_EXECUTED);
      host.forceOutcome("l" + i, Kind.BROKEN);
    }
    host.runLoad(40, 5 * RandomHost.SECOND);
    for (int i = 0; i < 6; i++) {
      host.forceOutcome("m" + i, null);
      host.forceOutcome("l" + i, null);
    }
    host.runLoad(40, 8 * RandomHost.SECOND);
    host.runToCompletion();
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void retriesOfAllRoutersStayWithinTheBudget(long seed) {
    List<RandomHost> hosts = new ArrayList<>();
    for (int dataPlane = 0; dataPlane < DATA_PLANES; dataPlane++) {
      RandomHost host = new RandomHost(seed * 100 + dataPlane, DATA_PLANES);
      host.runLoad(20, 3 * RandomHost.SECOND);
      for (int i = 0; i < 6; i++) {
        host.forceOutcome("m" + i, i < 4 ? Kind.NOT_EXECUTED : null);
        host.forceOutcome("l" + i, i < 4 ? Kind.NOT_EXECUTED : null);
      }
      host.runLoad(30, 25 * RandomHost.SECOND);
      host.runToCompletion();
      hosts.add(host);
    }
    assertThat(
        RandomHost.maxRetriesOverBudget(hosts, Fixtures.MODEL_SERVICE), lessThanOrEqualTo(0.0));
    assertThat(
        RandomHost.maxRetriesOverBudget(hosts, Fixtures.LOG_SERVICE), lessThanOrEqualTo(0.0));
    int sent = hosts.stream().mapToInt(host -> host.retries.get(Fixtures.LOG_SERVICE).size()).sum();
    assertThat("the routers use a large part of the retry budget", sent, greaterThan(100));
  }
}
