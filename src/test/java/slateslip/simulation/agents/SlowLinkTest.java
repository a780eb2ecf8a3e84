package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.distribution.BackendSession;

/**
 * Tests configurations of drawn sizes that reach a data plane over a link of a drawn rate. Guards
 * against streams that end while a long message is under way (review, case 7).
 */
final class SlowLinkTest {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long MILLI = 1_000;

  /** Two heartbeat intervals: no heartbeat waits for more than the few bytes in flight. */
  private static final long MAX_HEARTBEAT_GAP_MICROS = 400 * MILLI;

  /** Time for a restarted data plane to connect, besides the time of the transfer. */
  private static final long CONNECT_MICROS = 2 * SECOND;

  /** The acknowledgement of a drain waits for data planes for this time. */
  private static final long MAX_DRAIN_MICROS = 300 * MILLI;

  private static final int MIN_BYTES_PER_MILLI = 875;
  private static final int MAX_BYTES_PER_MILLI = 15_000;
  private static final int MAX_CONFIGURATION_BYTES = 1_500_000;
  private static final int REVIEW_CONFIGURATION_BYTES = 850_000;
  private static final int LONG_CONFIGURATION_BYTES = 4_000_000;
  private static final int MANY_BACKENDS = 12_000;
  private static final long SEEDS = 20;

  /** A fleet whose first data plane is behind a slow link. */
  private static final class SlowFleet {
    private final DirectedRun run;
    private final DataPlaneMachine slow;
    private final SplittableRandom random;
    private final long bytesPerMilli;

    private SlowFleet(long seed, long bytesPerMilli, AgentMutation mutation) {
      this.bytesPerMilli = bytesPerMilli;
      random = new SplittableRandom(seed);
      run = new DirectedRun(AgentWorld.Shape.of(3, 1), seed, 0, mutation);
      slow = run.world().dataPlanes().get(0);
      run.world().network().limitDownlink(slow.address(), bytesPerMilli);
      run.submit(ConfigurationChange.complete(0, 1, "first"));
      assertThat(run.timeUntilApplied(1, 2 * SECOND), greaterThanOrEqualTo(0L));
    }

    private static SlowFleet drawn(long seed) {
      long rate = new SplittableRandom(~seed).nextLong(MIN_BYTES_PER_MILLI, MAX_BYTES_PER_MILLI);
      return new SlowFleet(seed, rate, AgentMutation.NONE);
    }

    private void submitIncompressible(long version, int bytes) {
      run.submit(
          ConfigurationChange.incompressible(version - 1, version, "m" + version, bytes, random));
    }

    private long transferMicros(int bytes) {
      return bytes * MILLI / bytesPerMilli;
    }

    private void assertStreamStayedAlive() {
      assertThat(slow.longestHeartbeatGapMicros(), lessThan(MAX_HEARTBEAT_GAP_MICROS));
    }
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SEEDS);
  }

  /** The rules of connected data planes check that each version is in force in time. */
  @ParameterizedTest
  @MethodSource("seeds")
  void completeConfigurationsOfAnySizeReachDataPlaneBehindSlowLink(long seed) {
    SlowFleet fleet = SlowFleet.drawn(seed);
    for (int version = 2; version < 6; version++) {
      int bytes = fleet.random.nextInt(1, MAX_CONFIGURATION_BYTES);
      fleet.submitIncompressible(version, bytes);
      long timeoutMicros = fleet.transferMicros(bytes) + 2 * SECOND;
      assertThat(fleet.run.timeUntilApplied(version, timeoutMicros), greaterThanOrEqualTo(0L));
    }
    fleet.assertStreamStayedAlive();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void restartedDataPlaneBehindSlowLinkReceivesConfigurationOfAnySize(long seed) {
    SlowFleet fleet = SlowFleet.drawn(seed);
    int bytes = fleet.random.nextInt(1, MAX_CONFIGURATION_BYTES);
    fleet.submitIncompressible(2, bytes);
    fleet.run.advance(5 * SECOND);
    restart(fleet);
    long timeoutMicros = CONNECT_MICROS + fleet.transferMicros(bytes);
    assertThat(fleet.run.timeUntilApplied(2, timeoutMicros), greaterThanOrEqualTo(0L));
    fleet.assertStreamStayedAlive();
  }

  /** Resets the connections of the slow data plane, which counts as trouble of its machine. */
  private static void resetConnections(SlowFleet fleet) {
    fleet.slow.faultActiveUntil(fleet.run.now());
    fleet.run.world().network().resetAll(fleet.slow);
  }

  private static void restart(SlowFleet fleet) {
    fleet.slow.faultActiveUntil(fleet.run.now());
    fleet.slow.kill();
    fleet.run.world().start(fleet.slow);
  }

  /** Guards against a transfer that begins at the first byte on every new stream. */
  @Test
  void transferContinuesOnNextStreamWhereItBrokeOff() {
    SlowFleet fleet = new SlowFleet(7, MIN_BYTES_PER_MILLI, AgentMutation.NONE);
    fleet.submitIncompressible(2, REVIEW_CONFIGURATION_BYTES);
    fleet.run.advance(5 * SECOND);
    restart(fleet);
    for (int round = 0; round < 8; round++) {
      fleet.run.advance(500 * MILLI);
      resetConnections(fleet);
    }
    assertThat(fleet.run.timeUntilApplied(2, SECOND), greaterThanOrEqualTo(0L));
  }

  /** Guards against an acknowledgement beside a data plane that is connecting again. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void acknowledgementWaitsForDataPlaneThatIsConnectingAgain(long seed) {
    acknowledgeBesideReconnect(seed, AgentMutation.NONE);
  }

  private static void acknowledgeBesideReconnect(long seed, AgentMutation mutation) {
    SlowFleet fleet = new SlowFleet(seed, MAX_BYTES_PER_MILLI, mutation);
    fleet.run.advance(SECOND);
    resetConnections(fleet);
    fleet.run.advance(10 * MILLI);
    fleet.run.submit(ConfigurationChange.complete(1, 2, "second"));
    assertThat("version in force at the acknowledgement", fleet.slow.version(), is(2L));
  }

  @Test
  void forgettingDataPlaneThatIsConnectingAgainIsDetected() {
    assertThrows(
        AssertionError.class,
        () ->
            seeds()
                .forEach(
                    seed ->
                        acknowledgeBesideReconnect(
                            seed, AgentMutation.SLOW_LINK_FORGETS_RECONNECTING)));
  }

  /** Guards against a session table that a slow link cannot carry within a stream's time limit. */
  @Test
  void tableOfManyBackendsReachesRestartedDataPlane() {
    SlowFleet fleet = new SlowFleet(9, MIN_BYTES_PER_MILLI, AgentMutation.NONE);
    ControlMachine agent = fleet.run.primary();
    for (int number = 0; number < MANY_BACKENDS; number++) {
      BackendSession session = session(number);
      agent.process().execute(agent, () -> agent.heartbeat(session, acknowledged -> {}));
    }
    fleet.run.advance(500 * MILLI);
    restart(fleet);
    long timeoutMicros = CONNECT_MICROS;
    assertThat(
        fleet.run.timeUntil(() -> fleet.slow.backends().size() >= MANY_BACKENDS, timeoutMicros),
        greaterThanOrEqualTo(0L));
    fleet.assertStreamStayedAlive();
  }

  /** Guards against a drain that waits behind a configuration on the same stream (issue 56). */
  @ParameterizedTest
  @MethodSource("seeds")
  void drainReachesDataPlaneWithinTransferOfConfiguration(long seed) {
    SlowFleet fleet = new SlowFleet(seed, MIN_BYTES_PER_MILLI, AgentMutation.NONE);
    ControlMachine agent = fleet.run.primary();
    BackendSession backend = session(1);
    agent.process().execute(agent, () -> agent.heartbeat(backend, acknowledged -> {}));
    fleet.run.advance(SECOND);
    ConfigurationChange change =
        ConfigurationChange.incompressible(1, 2, "m2", LONG_CONFIGURATION_BYTES, fleet.random);
    fleet.run.world().history().sent(change);
    fleet.run.world().call(agent, change.call(), response -> {});
    fleet.run.advance(400 * MILLI);
    agent.process().execute(agent, () -> agent.heartbeat(draining(backend), acknowledged -> {}));
    long drainMicros =
        fleet.run.timeUntil(
            () -> fleet.slow.backends().get(backend.id()).draining(), MAX_DRAIN_MICROS);
    assertThat(drainMicros, greaterThanOrEqualTo(0L));
    assertThat("version in force during the transfer", fleet.slow.version(), is(1L));
  }

  private static BackendSession draining(BackendSession session) {
    return new BackendSession(
        session.id(),
        session.service(),
        session.address(),
        session.zone(),
        session.version(),
        session.slots(),
        true,
        0,
        session.sequence() + 1);
  }

  private static BackendSession session(int number) {
    String id = "i-%08x".formatted(number * 0x9e3779b1);
    String address =
        "10.%d.%d.%d:8080".formatted(100 + number / 65_536, number / 256 % 256, number % 256);
    return new BackendSession(id, "service-" + number % 29, address, "z", "v1", 64, false, 0, 1);
  }

  /** An upgraded agent sends whole messages to a data plane that does not read segments. */
  @Test
  void dataPlaneOfEarlierVersionReceivesLargeConfiguration() {
    SlowFleet fleet = new SlowFleet(5, MAX_BYTES_PER_MILLI, AgentMutation.SLOW_LINK_WHOLE_MESSAGES);
    fleet.submitIncompressible(2, REVIEW_CONFIGURATION_BYTES);
    assertThat(fleet.run.timeUntilApplied(2, 2 * SECOND), greaterThanOrEqualTo(0L));
  }

  private static void restartWithLargeConfiguration(int bytes, AgentMutation mutation) {
    SlowFleet fleet = new SlowFleet(3, MIN_BYTES_PER_MILLI, mutation);
    fleet.submitIncompressible(2, bytes);
    fleet.run.advance(5 * SECOND);
    restart(fleet);
    long timeoutMicros = CONNECT_MICROS + fleet.transferMicros(bytes);
    assertThat(fleet.run.timeUntilApplied(2, timeoutMicros), greaterThanOrEqualTo(0L));
    fleet.assertStreamStayedAlive();
  }

  @ParameterizedTest
  @ValueSource(ints = {REVIEW_CONFIGURATION_BYTES, LONG_CONFIGURATION_BYTES})
  void largeConfigurationReachesRestartedDataPlane(int bytes) {
    restartWithLargeConfiguration(bytes, AgentMutation.NONE);
  }

  /** The transfer takes longer than several heartbeat intervals. */
  @ParameterizedTest
  @MethodSource("transferMutations")
  void transferMutationIsDetected(AgentMutation mutation) {
    assertThrows(
        Throwable.class, () -> restartWithLargeConfiguration(LONG_CONFIGURATION_BYTES, mutation));
  }

  static AgentMutation[] transferMutations() {
    return new AgentMutation[] {
      AgentMutation.SLOW_LINK_WHOLE_MESSAGES, AgentMutation.SLOW_LINK_DROPS_HEARTBEATS
    };
  }
}
