package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that data planes behind slow links receive a configuration that grew in several changes
 * after all processes were killed at once and started again with their disks. Guards against a
 * fleet that serves nothing after such a restart (review, case 4, RECOVER).
 */
final class SlowRecoveryTest {
  private static final long SECOND = DirectedRun.SECOND;

  /** The time limit {@code recovery_s} of the grown deployments. */
  private static final long RECOVERY_MICROS = 15 * SECOND;

  private static final long DOWN_MICROS = SECOND;
  private static final long SETTLE_MICROS = 5 * SECOND;
  private static final int DATA_PLANES = 12;

  /** 7 Mbit/s, the link of a data plane of the grown deployments. */
  private static final int DOWNLINK_BYTES_PER_MILLI = 875;

  /** 120 Mbit/s, the link of a control agent of the grown deployments. */
  private static final int UPLINK_BYTES_PER_MILLI = 15_000;

  private static final int GROWTH_BYTES = 425_000;
  private static final int SMALL_CHANGE_BYTES = 300;

  private final SplittableRandom random = new SplittableRandom(1);

  private DirectedRun fleet(long seed, AgentMutation mutation) {
    DirectedRun run =
        new DirectedRun(new AgentWorld.Shape(3, 3, 1, DATA_PLANES, 4, 1), seed, 0, mutation);
    SimulatedNetwork network = run.world().network();
    for (DataPlaneMachine dataPlane : run.world().dataPlanes()) {
      network.limitDownlink(dataPlane.address(), DOWNLINK_BYTES_PER_MILLI);
    }
    for (ControlMachine agent : run.world().controlMachines()) {
      network.limitUplink(agent.address(), UPLINK_BYTES_PER_MILLI);
    }
    return run;
  }

  /** Grows the configuration by two large changes, after which small changes follow. */
  private void grow(DirectedRun run) {
    run.submit(ConfigurationChange.complete(0, 1, "first"));
    int[] sizes = {GROWTH_BYTES, GROWTH_BYTES, SMALL_CHANGE_BYTES, SMALL_CHANGE_BYTES};
    for (int bytes : sizes) {
      long base = run.newest();
      String marker = "growth" + base;
      run.submit(ConfigurationChange.growth(base, base + 1, marker, bytes, random));
      assertThat(run.timeUntilApplied(base + 1, SETTLE_MICROS), greaterThanOrEqualTo(0L));
    }
  }

  private static void restartAll(DirectedRun run) {
    List<ControlMachine> agents = List.copyOf(run.world().controlMachines());
    run.world().rules().faultActiveUntil(run.now() + DOWN_MICROS);
    agents.forEach(ControlMachine::kill);
    run.world().dataPlanes().forEach(DataPlaneMachine::kill);
    run.advance(DOWN_MICROS);
    agents.forEach(agent -> run.world().start(agent, false));
    for (DataPlaneMachine dataPlane : run.world().dataPlanes()) {
      dataPlane.faultActiveUntil(run.now() + RECOVERY_MICROS);
      run.world().start(dataPlane);
    }
  }

  private DirectedRun grownAndRestarted(long seed, AgentMutation mutation) {
    DirectedRun run = fleet(seed, mutation);
    grow(run);
    restartAll(run);
    return run;
  }

  private static void assertConfigurationReturns(DirectedRun run) {
    assertThat(run.timeUntilApplied(run.newest(), RECOVERY_MICROS), greaterThanOrEqualTo(0L));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void grownConfigurationReturnsAfterRestartOfAllProcesses(long seed) {
    assertConfigurationReturns(grownAndRestarted(seed, AgentMutation.NONE));
  }

  @Test
  void wholeMessagesAreDetected() {
    DirectedRun run = grownAndRestarted(1, AgentMutation.SLOW_LINK_WHOLE_MESSAGES);
    assertThrows(AssertionError.class, () -> assertConfigurationReturns(run));
  }
}
