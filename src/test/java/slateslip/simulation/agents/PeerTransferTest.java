package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.simulation.RuleViolation;

/**
 * Tests long messages between control agents. Guards against heartbeats that wait behind such a
 * message until the primary is replaced although nothing has failed, and against a state transfer
 * that begins at the first byte on each connection (issue 56, RECOVER).
 */
final class PeerTransferTest {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long MILLI = 1_000;

  /** The time limit {@code recovery_s} of the grown deployments. */
  private static final long RECOVERY_MICROS = 15 * SECOND;

  private static final int DATA_PLANES = 94;
  private static final int FEW_DATA_PLANES = 3;

  /** 7 Mbit/s, the link of a data plane of the grown deployments. */
  private static final int DATA_PLANE_BYTES_PER_MILLI = 875;

  /** 120 Mbit/s, the link of a control agent of the grown deployments. */
  private static final int AGENT_BYTES_PER_MILLI = 15_000;

  private static final int SLOW_AGENT_BYTES_PER_MILLI = 1_750;

  /** Close to the longest message between processes, 8 MiB. */
  private static final int CONFIGURATION_BYTES = 7_500_000;

  private static DirectedRun fleet(long seed, int dataPlanes, AgentMutation mutation) {
    DirectedRun run =
        new DirectedRun(new AgentWorld.Shape(3, 3, 1, dataPlanes, 4, 1), seed, 0, mutation);
    run.world().dataPlanes().forEach(each -> each.faultActiveUntil(Long.MAX_VALUE / 2));
    return run;
  }

  private static void limitLinks(DirectedRun run) {
    SimulatedNetwork network = run.world().network();
    for (ControlMachine agent : run.world().controlMachines()) {
      network.limitUplink(agent.address(), AGENT_BYTES_PER_MILLI);
      network.limitDownlink(agent.address(), AGENT_BYTES_PER_MILLI);
    }
    for (DataPlaneMachine dataPlane : run.world().dataPlanes()) {
      network.limitDownlink(dataPlane.address(), DATA_PLANE_BYTES_PER_MILLI);
    }
  }

  private static void submitLong(DirectedRun run, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    run.submit(ConfigurationChange.incompressible(0, 1, "long", CONFIGURATION_BYTES, random));
  }

  private static void assertNoViewChangeByLongConfiguration(DirectedRun run, long seed) {
    limitLinks(run);
    long epoch = run.primary().status().epoch();
    submitLong(run, seed);
    run.advance(2 * SECOND);
    assertThat(run.primary().status().epoch(), is(epoch));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void longConfigurationReplacesNoPrimary(long seed) {
    assertNoViewChangeByLongConfiguration(fleet(seed, DATA_PLANES, AgentMutation.NONE), seed);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void wholeMessagesToPeersAreDetected(long seed) {
    DirectedRun run = fleet(seed, DATA_PLANES, AgentMutation.SLOW_LINK_WHOLE_MESSAGES_TO_PEERS);
    Throwable failure =
        assertThrows(Throwable.class, () -> assertNoViewChangeByLongConfiguration(run, seed));
    assertThat(failure instanceof AssertionError || failure instanceof RuleViolation, is(true));
  }

  /**
   * Guards against an operator's reads at other agents, whose responses delay the heartbeats of the
   * primary.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void readsOfLongConfigurationReplaceNoPrimary(long seed) {
    DirectedRun run = fleet(seed, FEW_DATA_PLANES, AgentMutation.NONE);
    submitLong(run, seed);
    limitLinks(run);
    run.advance(SECOND);
    ControlMachine primary = run.primary();
    long epoch = primary.status().epoch();
    OperatorRequest read = new OperatorRequest(OperatorRequest.Method.GET, 0, new byte[0]);
    for (ControlMachine other : run.allExcept(primary)) {
      run.world().call(other, read, response -> {});
      run.world().call(other, read, response -> {});
    }
    run.advance(3 * SECOND);
    assertThat(run.primary().status().epoch(), is(epoch));
  }

  /** Starts an agent again with an empty disk, behind a slow link that breaks again and again. */
  private static long timeUntilEmptyAgentHasConfiguration(DirectedRun run) {
    ControlMachine agent = run.allExcept(run.primary()).get(0);
    run.world().rules().faultActiveUntil(run.now() + 2 * RECOVERY_MICROS);
    agent.losePower();
    agent.wipe();
    run.advance(3 * SECOND);
    run.world().network().limitDownlink(agent.address(), SLOW_AGENT_BYTES_PER_MILLI);
    run.world().start(agent, false);
    long start = run.now();
    while (agent.status().configurationVersion() < 1 && run.now() - start < RECOVERY_MICROS) {
      run.timeUntilAgentHas(agent, 1, 800 * MILLI);
      run.world().network().resetAll(agent);
    }
    return agent.status().configurationVersion() < 1 ? -1 : run.now() - start;
  }

  private static long timeUntilEmptyAgentHasConfiguration(long seed, AgentMutation mutation) {
    DirectedRun run = fleet(seed, FEW_DATA_PLANES, mutation);
    submitLong(run, seed);
    limitLinks(run);
    return timeUntilEmptyAgentHasConfiguration(run);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void agentWithEmptyDiskReceivesStateInParts(long seed) {
    assertThat(
        timeUntilEmptyAgentHasConfiguration(seed, AgentMutation.NONE), greaterThanOrEqualTo(0L));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void wholeStateTransferIsDetected(long seed) {
    assertThat(
        timeUntilEmptyAgentHasConfiguration(seed, AgentMutation.SLOW_LINK_WHOLE_MESSAGES_TO_PEERS),
        is(-1L));
  }
}
