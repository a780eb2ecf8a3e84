package slateslip.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/** The router requests a wake-up only if a check or a deadline is due. */
class WakeTest {
  private static final long SECOND = 1_000_000;
  private static final long IDLE_PROBE_MICROS =
      RoutingPolicy.DEFAULT.micros(RoutingParameter.IDLE_PROBE_MILLIS);
  private static final long REQUEST = 1;
  private static final int DATA_PLANES = 70;

  private final FleetRouter router = new FleetRouter("z0", 1);

  private List<RouterOutput> start(int backends, int dataPlanes) {
    List<BackendSession> sessions = new ArrayList<>();
    for (int i = 0; i < backends; i++) {
      sessions.add(Fixtures.backend("m" + i, Fixtures.MODEL_SERVICE, "z0"));
    }
    List<RouterOutput> outputs = new ArrayList<>();
    var allocation = new QuotaAllocation(dataPlanes, List.of());
    outputs.addAll(router.handle(0, new RouterInput.QuotaAllocationChanged(allocation)));
    outputs.addAll(router.handle(0, new RouterInput.TableChanged(Fixtures.table())));
    outputs.addAll(router.handle(0, new RouterInput.BackendsChanged(sessions)));
    return outputs;
  }

  private static List<Long> wakes(List<RouterOutput> outputs) {
    return outputs.stream()
        .filter(RouterOutput.WakeAt.class::isInstance)
        .map(output -> ((RouterOutput.WakeAt) output).atMicros())
        .toList();
  }

  /**
   * Wakes the router at each time that it requests until the end, and returns the number of probes
   * that it sends.
   */
  private long probesUntil(long endMicros, List<RouterOutput> outputs) {
    long probes = 0;
    List<Long> due = new ArrayList<>(wakes(outputs));
    while (!due.isEmpty()) {
      long next = due.remove(0);
      if (next <= endMicros) {
        List<RouterOutput> woken = router.handle(next, new RouterInput.Wake());
        probes += woken.stream().filter(RouterOutput.Probe.class::isInstance).count();
        due.addAll(wakes(woken));
      }
    }
    return probes;
  }

  @Test
  void idleRouterWithoutBackendsRequestsNoWakeUp() {
    assertThat(router.handle(0, new RouterInput.Wake()), is(empty()));
    assertThat(router.handle(SECOND, new RouterInput.Wake()), is(empty()));
  }

  @Test
  void idleBackendIsProbedWithinTheInterval() {
    List<RouterOutput> outputs = start(1, 1);
    long probes = probesUntil(2 * IDLE_PROBE_MICROS, outputs);
    assertThat(probes, is(greaterThan(0L)));
  }

  @Test
  void dataPlanesShareTheProbesOfIdleBackends() {
    List<RouterOutput> outputs = start(10, DATA_PLANES);
    assertThat(probesUntil(4 * IDLE_PROBE_MICROS, outputs), is(0L));
  }

  @Test
  void overdueResponseTriggersAProbe() {
    start(2, DATA_PLANES);
    List<RouterOutput> sent =
        router.handle(SECOND, new RouterInput.RequestArrived(REQUEST, Fixtures.attributes("/n/x")));
    List<Long> wakes = wakes(sent);
    assertThat(wakes, hasSize(1));
    assertThat(wakes.get(0), is(lessThanOrEqualTo(SECOND + SECOND / 2)));
    List<RouterOutput> overdue = router.handle(wakes.get(0), new RouterInput.Wake());
    assertThat(
        "probes of the backend",
        overdue.stream().filter(RouterOutput.Probe.class::isInstance).toList(),
        hasSize(1));
  }

  @Test
  void brokenResponseTriggersAProbeImmediately() {
    start(2, DATA_PLANES);
    router.handle(SECOND, new RouterInput.RequestArrived(REQUEST, Fixtures.attributes("/n/x")));
    List<RouterOutput> ended =
        router.handle(
            SECOND + 1,
            new RouterInput.AttemptEnded(REQUEST, 0, new AttemptOutcome(Kind.BROKEN, 0), null, -1));
    assertThat(
        "probes of the backend",
        ended.stream().filter(RouterOutput.Probe.class::isInstance).toList(),
        hasSize(1));
  }
}
