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
 * Tests that a data plane of a closed fleet serves API keys only while the data plane has every
 * configuration that may have revoked an API key.
 */
final class KeyLeaseTest {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long STEP = SECOND / 20;
  private static final AgentWorld.Shape SHAPE = AgentWorld.Shape.of(5, 2);
  private static final int MINORITY_SIZE = 2;

  /**
   * Suspends the invariants of connected data planes during the partition; the invariant of key
   * leases remains active.
   */
  private static final long PARTITION_MICROS = 30 * SECOND;

  /** Partitions a data plane and the last agents of the list from all other machines. */
  private static void partitionMinorityWith(DirectedRun run, DataPlaneMachine dataPlane) {
    run.world().rules().faultActiveUntil(run.now() + PARTITION_MICROS);
    List<ControlMachine> agents = run.world().controlMachines();
    List<ControlMachine> minority = agents.subList(agents.size() - MINORITY_SIZE, agents.size());
    List<String> partitioned =
        Stream.concat(minority.stream(), Stream.of(dataPlane))
            .map(SimulatedMachine::address)
            .toList();
    Stream.concat(agents.stream(), run.world().dataPlanes().stream())
        .map(SimulatedMachine::address)
        .filter(address -> !partitioned.contains(address))
        .forEach(
            address ->
                partitioned.forEach(
                    own -> {
                      run.world().network().partition(own, address);
                      run.world().network().partition(address, own);
                    }));
  }

  /** Submits a change to the majority while a data plane is partitioned with the minority. */
  private static void runPartition(long seed, AgentMutation mutation) {
    DirectedRun run = new DirectedRun(SHAPE, seed, 0, mutation);
    run.submit(ConfigurationChange.complete(0, 3, "first"));
    DataPlaneMachine dataPlane = run.world().dataPlanes().get(0);
    run.timeUntil(dataPlane::holdsKeyLease, 2 * SECOND);
    partitionMinorityWith(run, dataPlane);
    run.advance(SECOND / 2);
    run.submit(ConfigurationChange.complete(3, 4, "key taken away"));
    run.advance(DataPlaneMachine.REVOKE_TIMEOUT_MICROS + 4 * SECOND);
    assertThat("version of the partitioned data plane", dataPlane.version(), is(3L));
    assertThat(dataPlane.holdsKeyLease(), is(false));
    run.world().network().heal();
    assertThat(run.timeUntil(dataPlane::holdsKeyLease, 5 * SECOND) >= 0, is(true));
    assertThat(dataPlane.version(), is(4L));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void partitionedDataPlaneLosesKeyLeaseInTime(long seed) {
    runPartition(seed, AgentMutation.NONE);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.MATCH_ANY, names = "LEASES_.*")
  void leaseMutationViolatesSafetyInvariant(AgentMutation mutation) {
    assertThrows(RuleViolation.class, () -> runPartition(1, mutation));
  }

  @Test
  void connectedDataPlaneNeverLosesKeyLease() {
    DirectedRun run = new DirectedRun(SHAPE, 11, 2);
    for (DataPlaneMachine dataPlane : run.world().dataPlanes()) {
      assertThat(run.timeUntil(dataPlane::holdsKeyLease, 3 * SECOND) >= 0, is(true));
    }
    for (long end = run.now() + 20 * SECOND; run.now() < end; ) {
      run.advance(STEP);
      for (DataPlaneMachine dataPlane : run.world().dataPlanes()) {
        assertThat(dataPlane.holdsKeyLease(), is(true));
      }
    }
  }

  @Test
  void keyLeaseSurvivesPrimaryFailure() {
    DirectedRun run = new DirectedRun(SHAPE, 12, 0);
    run.submit(ConfigurationChange.complete(0, 3, "first"));
    DataPlaneMachine dataPlane = run.world().dataPlanes().get(0);
    run.timeUntil(dataPlane::holdsKeyLease, 2 * SECOND);
    run.fault(AgentFault.Kind.KILL_PRIMARY, 0, SECOND);
    for (long end = run.now() + 5 * SECOND; run.now() < end; ) {
      run.advance(STEP);
      assertThat(dataPlane.holdsKeyLease(), is(true));
    }
  }

  @Test
  void frozenDataPlaneLosesKeyLease() {
    DirectedRun run = new DirectedRun(SHAPE, 13, 0);
    run.submit(ConfigurationChange.complete(0, 3, "first"));
    DataPlaneMachine dataPlane = run.world().dataPlanes().get(0);
    run.timeUntil(dataPlane::holdsKeyLease, 2 * SECOND);
    run.fault(AgentFault.Kind.FREEZE_DATA_PLANE, 0, 4 * SECOND);
    run.advance(4 * SECOND - STEP);
    assertThat(dataPlane.holdsKeyLease(), is(false));
    assertThat(run.timeUntil(dataPlane::holdsKeyLease, 5 * SECOND) >= 0, is(true));
  }
}
