package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.simulation.agents.AgentFault.Kind;

/**
 * Tests a control agent that is partitioned for 5 to 40 s while operators read and change the
 * configuration: the majority accepts changes, and the partitioned agent returns no stale state.
 */
final class PartitionedAgentTest {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long ACCEPT_TIMEOUT_MICROS = 2 * SECOND;
  private static final long DETECTION_MICROS = SECOND;

  static Stream<Arguments> partitions() {
    List<Kind> kinds =
        List.of(
            Kind.ISOLATE,
            Kind.ISOLATE_PRIMARY,
            Kind.PARTITION_FROM_ALL,
            Kind.PARTITION_PRIMARY_FROM_ALL,
            Kind.PARTITION_FROM_DATA_PLANES,
            Kind.PARTITION_PRIMARY_OUTBOUND,
            Kind.PARTITION_PRIMARY_INBOUND,
            Kind.ISOLATE_WITH_SEEDS);
    return kinds.stream()
        .flatMap(
            kind ->
                Stream.of(5, 20, 40)
                    .flatMap(
                        seconds ->
                            Stream.of(3, 5, 9).map(size -> Arguments.of(kind, seconds, size))));
  }

  @ParameterizedTest
  @MethodSource("partitions")
  void majorityAcceptsChangesAndNoStaleReadIsServed(Kind kind, int seconds, int size) {
    AgentWorld.Shape shape = AgentWorld.Shape.of(size, size > 3 ? 2 : 1);
    DirectedRun run = new DirectedRun(shape, seconds * 100L + size, 2);
    boolean atPrimary = kind.name().contains("PRIMARY");
    ControlMachine partitioned =
        atPrimary ? run.primary() : run.world().controlMachines().get(size - 1);
    run.fault(kind, size - 1, seconds * SECOND);
    long accepted =
        run.world().timeToAcceptChange(ACCEPT_TIMEOUT_MICROS, () -> run.allExcept(partitioned));
    assertThat(
        "time in microseconds until a change is accepted",
        accepted,
        allOf(greaterThanOrEqualTo(0L), lessThanOrEqualTo(ACCEPT_TIMEOUT_MICROS)));
    run.advance(seconds * SECOND);
    run.world().heal(0);
    long newest = run.newest();
    assertThat(run.timeUntilApplied(newest, 2 * SECOND), greaterThanOrEqualTo(0L));
    assertThat(run.timeUntilAgentHas(partitioned, newest, 2 * SECOND), greaterThanOrEqualTo(0L));
  }

  @Test
  void partitionedPrimaryServesNoReads() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 7, 0);
    run.submit(ConfigurationChange.complete(0, 3, "first"));
    ControlMachine partitioned = run.primary();
    run.fault(Kind.ISOLATE_PRIMARY, 0, 20 * SECOND);
    ConfigurationChange accepted = ConfigurationChange.complete(0, 3, "first");
    ConfigurationChange invalid = ConfigurationChange.invalid(3, 4, "invalid");
    ConfigurationChange stale = ConfigurationChange.complete(0, 2, "stale");
    for (int second = 0; second < 18; second++) {
      assertUnavailableOrTimedOut(
          run.call(partitioned, new OperatorRequest(OperatorRequest.Method.GET, 0, new byte[0])));
      assertUnavailableOrTimedOut(run.send(partitioned, accepted));
      assertUnavailableOrTimedOut(run.send(partitioned, invalid));
      assertUnavailableOrTimedOut(run.send(partitioned, stale));
      assertUnavailableOrTimedOut(
          run.send(partitioned, ConfigurationChange.complete(3, 5, "new" + second)));
      run.advance(SECOND / 4);
    }
  }

  private static void assertUnavailableOrTimedOut(OperatorResponse response) {
    if (response != null) {
      assertThat(response.status(), is(OperatorResponse.UNAVAILABLE));
    }
  }

  @Test
  void dataPlanesLeavePartitionedAgent() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 11, 0);
    run.submit(ConfigurationChange.complete(0, 3, "first"));
    ControlMachine partitioned = run.primary();
    run.fault(Kind.ISOLATE_PRIMARY, 0, 20 * SECOND);
    run.advance(DETECTION_MICROS);
    assertThat(partitioned.status().current(), is(false));
    long accepted =
        run.world().timeToAcceptChange(ACCEPT_TIMEOUT_MICROS, () -> run.allExcept(partitioned));
    assertThat(accepted, greaterThanOrEqualTo(0L));
    assertThat(run.timeUntilApplied(run.newest(), SECOND), greaterThanOrEqualTo(0L));
  }

  @Test
  void dataPlaneConnectedOnlyToMinorityFollowsMajority() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(8, 2), 13, 0);
    run.submit(ConfigurationChange.complete(0, 3, "first"));
    run.advance(SECOND);
    Set<String> minority = run.world().dataPlanes().get(0).connectedAgents();
    assertThat(minority.size(), is(3));
    List<ControlMachine> majority =
        run.world().controlMachines().stream()
            .filter(machine -> !minority.contains(machine.address()))
            .toList();
    for (String one : minority) {
      for (ControlMachine other : majority) {
        run.world().network().partition(one, other.address());
        run.world().network().partition(other.address(), one);
      }
    }
    run.advance(DETECTION_MICROS);
    long accepted = run.world().timeToAcceptChange(ACCEPT_TIMEOUT_MICROS, () -> majority);
    assertThat(accepted, greaterThanOrEqualTo(0L));
    assertThat(run.timeUntilApplied(run.newest(), ACCEPT_TIMEOUT_MICROS), greaterThanOrEqualTo(0L));
  }
}
