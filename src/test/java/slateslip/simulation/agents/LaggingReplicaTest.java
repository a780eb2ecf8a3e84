package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.simulation.agents.AgentFault.Kind;

/** Members, learner and data planes that were away for hundreds of changes. */
final class LaggingReplicaTest {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long LONG = 1_000 * SECOND;
  private static final int BYTES = 1_500;

  @ParameterizedTest
  @ValueSource(ints = {10, 300, 1_500})
  void aMemberThatWasDownForManyChangesHasAllWithinTwoSeconds(int changes) {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), changes, 0);
    run.take(ConfigurationChange.complete(0, 1, "first"));
    ControlMachine down = run.allBut(run.primary()).get(0);
    down.kill();
    run.takeMany(changes, BYTES, "m");
    run.world().start(down, false);
    long newest = run.newest();
    assertThat(newest, is(changes + 1L));
    assertThat(run.timeUntilAgentHas(down, newest, 2 * SECOND), greaterThanOrEqualTo(0L));
    run.pass(3 * SECOND);
    leadWith(run, down, newest);
  }

  /** The late one leads, and has everything. */
  private static void leadWith(DirectedRun run, ControlMachine late, long newest) {
    run.allBut(late).get(0).kill();
    assertThat(run.world().timeToTakeChange(4 * SECOND), greaterThanOrEqualTo(0L));
    assertThat(run.newest(), is(newest + 1));
    run.world().start(run.allBut(late).get(0), false);
    run.pass(5 * SECOND);
    run.allBut(late).get(1).kill();
    assertThat(run.world().timeToTakeChange(4 * SECOND), greaterThanOrEqualTo(0L));
    assertThat(run.newest(), is(newest + 2));
  }

  @Test
  void returningLearnerCatchesUp() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(4, 1), 9, 0);
    run.take(ConfigurationChange.complete(0, 1, "first"));
    ControlMachine learner = run.world().controlMachines().get(3);
    for (int round = 0; round < 5; round++) {
      learner.kill();
      run.takeMany(3 + 100 * round, BYTES, "r" + round + "-");
      run.pass(3 * SECOND);
      run.world().start(learner, false);
      long newest = run.newest();
      assertThat(run.timeUntilAgentHas(learner, newest, 2 * SECOND), greaterThanOrEqualTo(0L));
    }
  }

  @Test
  void laggingReturnedMemberDoesNotBlockPrimary() {
    for (long seed = 1; seed <= 10; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(4, 1), seed, 0);
      run.take(ConfigurationChange.complete(0, 1, "first"));
      ControlMachine dropped = run.allBut(run.primary()).get(0);
      int index = run.world().controlMachines().indexOf(dropped);
      run.fault(Kind.ISOLATE, index, 4 * SECOND + seed * 100_000);
      run.pass(3 * SECOND);
      run.takeMany(4, BYTES, "m");
      run.pass(2 * SECOND);
      run.takeMany(4, BYTES, "n");
      assertThat(
          run.timeUntilAgentHas(dropped, run.newest(), 2 * SECOND), greaterThanOrEqualTo(0L));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 20, 1_000})
  void aDataPlaneThatIsManyVersionsBehindHasTheNewestWithinTwoSeconds(int versions) {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), versions, 0);
    run.take(ConfigurationChange.complete(0, 1, "first"));
    run.pass(SECOND);
    DataPlaneMachine behind = run.world().dataPlanes().get(0);
    SimulatedProcess frozen = behind.process();
    frozen.freeze();
    behind.troubled(LONG);
    run.takeMany(versions, BYTES, "m");
    frozen.thaw();
    assertThat(run.timeUntilInForce(run.newest(), 2 * SECOND), greaterThanOrEqualTo(0L));
  }

  @Test
  void aFullDiskDuringManyChangesLosesNothing() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 4, 0);
    run.take(ConfigurationChange.complete(0, 1, "first"));
    for (int target = 0; target < 3; target++) {
      run.fault(Kind.DISK_FULL, target, 3 * SECOND);
      run.takeMany(60, 20_000, "t" + target + "-");
      run.pass(5 * SECOND);
      run.takeMany(60, 20_000, "u" + target + "-");
    }
    run.fault(Kind.LOSE_POWER_ALL, 0, SECOND);
    run.pass(4 * SECOND);
    assertThat(run.world().timeToTakeChange(3 * SECOND), greaterThanOrEqualTo(0L));
  }
}
