package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.simulation.agents.AgentFault.Kind;

/** Tests members, learners and data planes that miss many changes, up to 1,500, and then return. */
final class LaggingReplicaTest {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long FAULT_END_MICROS = 1_000 * SECOND;
  private static final int BYTES = 1_500;

  @ParameterizedTest
  @ValueSource(ints = {10, 300, 1_500})
  void restartedMemberCatchesUpWithinTwoSeconds(int changes) {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), changes, 0);
    run.submit(ConfigurationChange.complete(0, 1, "first"));
    ControlMachine down = run.allExcept(run.primary()).get(0);
    down.kill();
    run.submitMany(changes, BYTES, "m");
    run.world().start(down, false);
    long newest = run.newest();
    assertThat(newest, is(changes + 1L));
    assertThat(run.timeUntilAgentHas(down, newest, 2 * SECOND), greaterThanOrEqualTo(0L));
    run.advance(3 * SECOND);
    assertAcceptsChangesWith(run, down, newest);
  }

  /**
   * Checks that the replica has all changes: with each of the other two members down in turn, the
   * remaining majority includes the replica and accepts a change on top of the newest version.
   */
  private static void assertAcceptsChangesWith(
      DirectedRun run, ControlMachine replica, long newest) {
    run.allExcept(replica).get(0).kill();
    assertThat(run.world().timeToAcceptChange(4 * SECOND), greaterThanOrEqualTo(0L));
    assertThat(run.newest(), is(newest + 1));
    run.world().start(run.allExcept(replica).get(0), false);
    run.advance(5 * SECOND);
    run.allExcept(replica).get(1).kill();
    assertThat(run.world().timeToAcceptChange(4 * SECOND), greaterThanOrEqualTo(0L));
    assertThat(run.newest(), is(newest + 2));
  }

  @Test
  void returningLearnerCatchesUp() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(4, 1), 9, 0);
    run.submit(ConfigurationChange.complete(0, 1, "first"));
    ControlMachine learner = run.world().controlMachines().get(3);
    for (int round = 0; round < 5; round++) {
      learner.kill();
      run.submitMany(3 + 100 * round, BYTES, "r" + round + "-");
      run.advance(3 * SECOND);
      run.world().start(learner, false);
      long newest = run.newest();
      assertThat(run.timeUntilAgentHas(learner, newest, 2 * SECOND), greaterThanOrEqualTo(0L));
    }
  }

  @Test
  void laggingReturnedMemberDoesNotBlockPrimary() {
    for (long seed = 1; seed <= 10; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(4, 1), seed, 0);
      run.submit(ConfigurationChange.complete(0, 1, "first"));
      ControlMachine isolated = run.allExcept(run.primary()).get(0);
      int index = run.world().controlMachines().indexOf(isolated);
      run.fault(Kind.ISOLATE, index, 4 * SECOND + seed * 100_000);
      run.advance(3 * SECOND);
      run.submitMany(4, BYTES, "m");
      run.advance(2 * SECOND);
      run.submitMany(4, BYTES, "n");
      assertThat(
          run.timeUntilAgentHas(isolated, run.newest(), 2 * SECOND), greaterThanOrEqualTo(0L));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 20, 1_000})
  void laggingDataPlaneCatchesUpWithinTwoSeconds(int versions) {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), versions, 0);
    run.submit(ConfigurationChange.complete(0, 1, "first"));
    run.advance(SECOND);
    DataPlaneMachine behind = run.world().dataPlanes().get(0);
    SimulatedProcess frozen = behind.process();
    frozen.freeze();
    behind.faultActiveUntil(FAULT_END_MICROS);
    run.submitMany(versions, BYTES, "m");
    frozen.thaw();
    assertThat(run.timeUntilApplied(run.newest(), 2 * SECOND), greaterThanOrEqualTo(0L));
  }

  @Test
  void fullDiskDuringManyChangesLosesNoAcknowledgedChange() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 4, 0);
    run.submit(ConfigurationChange.complete(0, 1, "first"));
    for (int target = 0; target < 3; target++) {
      run.fault(Kind.DISK_FULL, target, 3 * SECOND);
      run.submitMany(60, 20_000, "t" + target + "-");
      run.advance(5 * SECOND);
      run.submitMany(60, 20_000, "u" + target + "-");
    }
    run.fault(Kind.LOSE_POWER_ALL, 0, SECOND);
    run.advance(4 * SECOND);
    assertThat(run.world().timeToAcceptChange(3 * SECOND), greaterThanOrEqualTo(0L));
  }
}
