package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.simulation.RuleViolation;

/**
 * Where the fleet is closed, a data plane serves keys only as long as it is sure to know every
 * configuration that may have taken one away.
 */
final class KeyLeaseTest {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long STEP = SECOND / 20;
  private static final AgentWorld.Shape SHAPE = AgentWorld.Shape.of(5, 2);
  private static final int SMALLER_SIDE = 2;

  /** The rules for machines in touch do not hold for so long; that of leases does. */
  private static final long TROUBLED_MICROS = 30 * SECOND;

  /** The agents at the end of the list and the first data plane, cut off from all others. */
  private static void cutOff(DirectedRun run, DataPlaneMachine dataPlane) {
    run.world().rules().troubled(run.now() + TROUBLED_MICROS);
    List<ControlMachine> agents = run.world().controlMachines();
    List<ControlMachine> smaller = agents.subList(agents.size() - SMALLER_SIDE, agents.size());
    List<String> inside =
        Stream.concat(smaller.stream(), Stream.of(dataPlane))
            .map(SimulatedMachine::address)
            .toList();
    Stream.concat(agents.stream(), run.world().dataPlanes().stream())
        .map(SimulatedMachine::address)
        .filter(address -> !inside.contains(address))
        .forEach(
            address ->
                inside.forEach(
                    own -> {
                      run.world().network().partition(own, address);
                      run.world().network().partition(address, own);
                    }));
  }

  /** A change is taken at the larger side while a data plane is with the smaller one. */
  private static void playCut(long seed, AgentMutation mutation) {
    DirectedRun run = new DirectedRun(SHAPE, seed, 0, mutation);
    run.take(ConfigurationChange.complete(0, 3, "first"));
    DataPlaneMachine dataPlane = run.world().dataPlanes().get(0);
    run.timeUntil(dataPlane::holdsKeyLease, 2 * SECOND);
    cutOff(run, dataPlane);
    run.pass(SECOND / 2);
    run.take(ConfigurationChange.complete(3, 4, "key taken away"));
    run.pass(DataPlaneMachine.REVOKE_TIMEOUT_MICROS + 4 * SECOND);
    assertThat("the change did not come through", dataPlane.version(), is(3L));
    assertThat(dataPlane.holdsKeyLease(), is(false));
    run.world().network().heal();
    assertThat(run.timeUntil(dataPlane::holdsKeyLease, 5 * SECOND) >= 0, is(true));
    assertThat(dataPlane.version(), is(4L));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void dataPlaneThatIsCutOffStopsServingKeysInTime(long seed) {
    playCut(seed, AgentMutation.NONE);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.MATCH_ANY, names = "LEASES_.*")
  void mutationIsCaught(AgentMutation mutation) {
    assertThrows(RuleViolation.class, () -> playCut(1, mutation));
  }

  @Test
  void dataPlaneInTouchNeverLosesItsLease() {
    DirectedRun run = new DirectedRun(SHAPE, 11, 2);
    for (DataPlaneMachine dataPlane : run.world().dataPlanes()) {
      assertThat(run.timeUntil(dataPlane::holdsKeyLease, 3 * SECOND) >= 0, is(true));
    }
    for (long end = run.now() + 20 * SECOND; run.now() < end; ) {
      run.pass(STEP);
      for (DataPlaneMachine dataPlane : run.world().dataPlanes()) {
        assertThat(dataPlane.holdsKeyLease(), is(true));
      }
    }
  }

  @Test
  void leaseOutlastsTheLossOfThePrimary() {
    DirectedRun run = new DirectedRun(SHAPE, 12, 0);
    run.take(ConfigurationChange.complete(0, 3, "first"));
    DataPlaneMachine dataPlane = run.world().dataPlanes().get(0);
    run.timeUntil(dataPlane::holdsKeyLease, 2 * SECOND);
    run.fault(AgentFault.Kind.KILL_PRIMARY, 0, SECOND);
    for (long end = run.now() + 5 * SECOND; run.now() < end; ) {
      run.pass(STEP);
      assertThat(dataPlane.holdsKeyLease(), is(true));
    }
  }

  @Test
  void dataPlaneThatWasFrozenHoldsNoLease() {
    DirectedRun run = new DirectedRun(SHAPE, 13, 0);
    run.take(ConfigurationChange.complete(0, 3, "first"));
    DataPlaneMachine dataPlane = run.world().dataPlanes().get(0);
    run.timeUntil(dataPlane::holdsKeyLease, 2 * SECOND);
    run.fault(AgentFault.Kind.FREEZE_DATA_PLANE, 0, 4 * SECOND);
    run.pass(4 * SECOND - STEP);
    assertThat(dataPlane.holdsKeyLease(), is(false));
    assertThat(run.timeUntil(dataPlane::holdsKeyLease, 5 * SECOND) >= 0, is(true));
  }
}
