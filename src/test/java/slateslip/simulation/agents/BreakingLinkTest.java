package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.distribution.BackendSession;

/**
 * Tests a restarted data plane behind a slow link whose connections break again and again, sooner
 * than a long message arrives. Guards against a transfer that begins at the first byte on each
 * stream, so that the data plane never serves (issue 56, RECOVER).
 */
final class BreakingLinkTest {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long MILLI = 1_000;

  /** 7 Mbit/s, the link of a data plane of the grown deployments. */
  private static final int BYTES_PER_MILLI = 875;

  /** The time limit {@code recovery_s} of the grown deployments. */
  private static final long RECOVERY_MICROS = 15 * SECOND;

  private static final int MANY_BACKENDS = 30_000;
  private static final int CONFIGURATION_BYTES = 3_000_000;

  private final SplittableRandom random = new SplittableRandom(1);

  private static DirectedRun fleet(long seed) {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), seed, 0);
    run.world().network().limitDownlink(slow(run).address(), BYTES_PER_MILLI);
    run.submit(ConfigurationChange.complete(0, 1, "first"));
    assertThat(run.timeUntilApplied(1, 2 * SECOND), greaterThanOrEqualTo(0L));
    return run;
  }

  private static DataPlaneMachine slow(DirectedRun run) {
    return run.world().dataPlanes().get(0);
  }

  private static void restart(DirectedRun run) {
    slow(run).faultActiveUntil(run.now() + RECOVERY_MICROS);
    slow(run).kill();
    run.world().start(slow(run));
  }

  /** Breaks all connections of the slow data plane at an interval until a condition is true. */
  private static long timeUntil(DirectedRun run, long intervalMicros, BooleanSupplier condition) {
    long start = run.now();
    while (!condition.getAsBoolean() && run.now() - start < RECOVERY_MICROS) {
      run.timeUntil(condition, intervalMicros);
      run.world().network().resetAll(slow(run));
    }
    return condition.getAsBoolean() ? run.now() - start : -1;
  }

  /** Sends a small change at an interval, without waiting for its acknowledgement. */
  private static void changeEvery(DirectedRun run, long intervalMicros) {
    ControlMachine agent = run.primary();
    long base = agent.status().configurationVersion();
    ConfigurationChange change = ConfigurationChange.patch(base, base + 1, "p" + run.now());
    run.world().history().sent(change);
    run.world().call(agent, change.call(), response -> {});
    run.world().events().after(intervalMicros, () -> changeEvery(run, intervalMicros));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void sessionTableArrivesInParts(long seed) {
    DirectedRun run = fleet(seed);
    ControlMachine agent = run.primary();
    for (int number = 0; number < MANY_BACKENDS; number++) {
      BackendSession session = session(number);
      agent.process().execute(agent, () -> agent.heartbeat(session, acknowledged -> {}));
    }
    run.advance(SECOND);
    restart(run);
    long micros = timeUntil(run, 400 * MILLI, () -> slow(run).backends().size() >= MANY_BACKENDS);
    assertThat(micros, greaterThanOrEqualTo(0L));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void configurationArrivesInPartsAlthoughChangesFollow(long seed) {
    DirectedRun run = fleet(seed);
    run.submit(ConfigurationChange.incompressible(1, 2, "m2", CONFIGURATION_BYTES, random));
    run.advance(5 * SECOND);
    restart(run);
    changeEvery(run, 400 * MILLI);
    long micros = timeUntil(run, 500 * MILLI, () -> slow(run).version() >= 2);
    assertThat(micros, greaterThanOrEqualTo(0L));
  }

  private static BackendSession session(int number) {
    String id = "i-%08x".formatted(number * 0x9e3779b1);
    String address =
        "10.%d.%d.%d:8080".formatted(100 + number / 65_536, number / 256 % 256, number % 256);
    return new BackendSession(id, "service-" + number % 29, address, "z", "v1", 64, false, 0, 1);
  }
}
