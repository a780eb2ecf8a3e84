package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests one control agent that serves all data planes of a large fleet over one uplink. Guards
 * against transfers to many data planes that delay the heartbeats to the other control agents, so
 * that the primary is replaced although nothing has failed (issue 56, RECOVER).
 */
final class SharedUplinkTest {
  private static final long SECOND = DirectedRun.SECOND;

  private static final int DATA_PLANES = 94;

  /** 7 Mbit/s, the link of a data plane of the grown deployments. */
  private static final int DOWNLINK_BYTES_PER_MILLI = 875;

  /** 120 Mbit/s, the link of a control agent of the grown deployments. */
  private static final int UPLINK_BYTES_PER_MILLI = 15_000;

  private static final int CONFIGURATION_BYTES = 850_000;

  /** One heartbeat interval of the primary. */
  private static final long MAX_QUEUE_MICROS = 100_000;

  /** Returns a fleet whose data planes are all connected to the primary. */
  private static DirectedRun fleetAtOneAgent(long seed) {
    DirectedRun run = new DirectedRun(new AgentWorld.Shape(3, 3, 1, DATA_PLANES, 4, 1), seed, 0);
    SimulatedNetwork network = run.world().network();
    ControlMachine primary = run.primary();
    network.limitUplink(primary.address(), UPLINK_BYTES_PER_MILLI);
    for (DataPlaneMachine dataPlane : run.world().dataPlanes()) {
      network.limitDownlink(dataPlane.address(), DOWNLINK_BYTES_PER_MILLI);
      for (ControlMachine other : run.allExcept(primary)) {
        network.partition(dataPlane.address(), other.address());
        network.partition(other.address(), dataPlane.address());
      }
    }
    run.world().rules().faultActiveUntil(run.now());
    run.advance(4 * SECOND);
    return run;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void transfersToAllDataPlanesDoNotDelayHeartbeatsOfAgents(long seed) {
    DirectedRun run = fleetAtOneAgent(seed);
    ControlMachine primary = run.primary();
    long epoch = primary.status().epoch();
    SplittableRandom random = new SplittableRandom(seed);
    run.submit(ConfigurationChange.incompressible(0, 1, "large", CONFIGURATION_BYTES, random));
    long transferMicros = 1_000L * CONFIGURATION_BYTES * DATA_PLANES / UPLINK_BYTES_PER_MILLI;
    long applied = run.timeUntilApplied(1, transferMicros);
    assertThat(applied, greaterThanOrEqualTo(0L));
    assertThat(primary.status().epoch(), is(epoch));
    assertThat(
        run.world().network().longestUplinkQueueMicros(primary.address()),
        lessThanOrEqualTo(MAX_QUEUE_MICROS));
  }
}
