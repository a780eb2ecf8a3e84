package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateslip.simulation.RuleViolation;
import slateslip.simulation.agents.AgentFault.Kind;

/** Tests a second loss shortly after a first loss or a replacement, and members that shut down. */
final class SecondLossTest {
  private static final long SECOND = DirectedRun.SECOND;
  private static final long SYNC_MICROS = 4 * SECOND;
  private static final long ACCEPT_TIMEOUT_MICROS = 3 * SECOND;
  private static final long DOWNTIME = 300_000;

  private static final List<Kind> FIRST =
      List.of(
          Kind.REPLACE,
          Kind.REPLACE_PRIMARY,
          Kind.REPLACE_PLANNED,
          Kind.REPLACE_PRIMARY_PLANNED,
          Kind.WIPE,
          Kind.WIPE_PRIMARY,
          Kind.FREEZE_PRIMARY,
          Kind.DISK_SLOW_PRIMARY,
          Kind.RESTART_PRIMARY);
  private static final List<Kind> SECOND_LOSS =
      List.of(Kind.KILL_PRIMARY, Kind.LOSE_POWER, Kind.WIPE, Kind.REPLACE_PRIMARY);
  private static final List<Long> GAPS =
      List.of(1_000L, 100_000L, 700_000L, 2 * SECOND, 4 * SECOND, 6 * SECOND);

  @ParameterizedTest
  @CsvSource({"3,1", "4,1", "5,2", "9,2"})
  void changesAreAcceptedAfterEveryPairOfLosses(int size, int tolerance) {
    List<String> failures = new ArrayList<>();
    long seed = 0;
    for (Kind first : FIRST) {
      for (Kind second : SECOND_LOSS) {
        for (long gap : GAPS) {
          seed++;
          try {
            runPair(
                new DirectedRun(AgentWorld.Shape.of(size, tolerance), seed, 1), first, second, gap);
          } catch (RuleViolation violation) {
            failures.add(first + ", " + second + " after " + gap + ": " + violation.getMessage());
          }
        }
      }
    }
    assertThat(failures, empty());
  }

  private static void runPair(DirectedRun run, Kind first, Kind second, long gap) {
    run.fault(first, 1, DOWNTIME);
    run.advance(gap);
    run.fault(second, 2, DOWNTIME);
    run.advance(DOWNTIME + SYNC_MICROS);
    if (run.world().timeToAcceptChange(ACCEPT_TIMEOUT_MICROS) < 0) {
      throw new RuleViolation("no change was accepted after both losses");
    }
    run.advance(SYNC_MICROS);
    run.world().heal(0);
    if (run.world().timeToAcceptChange(ACCEPT_TIMEOUT_MICROS) < 0) {
      throw new RuleViolation("no change was accepted after all faults ended");
    }
  }

  @Test
  void stoppingMemberStaysUntilStateIsCopied() {
    for (long seed = 1; seed <= 20; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(4, 1), seed, 0);
      run.submit(ConfigurationChange.complete(0, 3, "first"));
      run.fault(Kind.RESTART_PRIMARY, 0, DOWNTIME);
      run.advance(30_000);
      run.fault(Kind.LOSE_POWER, 1, 20 * SECOND);
      long accepted = run.world().timeToAcceptChange(SYNC_MICROS);
      assertThat("seed " + seed, accepted, greaterThanOrEqualTo(0L));
    }
  }

  @Test
  void stoppingPrimaryHandsOverWithoutGap() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 3, 0);
    run.submit(ConfigurationChange.complete(0, 3, "first"));
    ControlMachine draining = run.primary();
    run.fault(Kind.RESTART_PRIMARY, 0, DOWNTIME);
    long handedOver =
        run.timeUntil(
            () -> run.allExcept(draining).stream().anyMatch(ControlMachine::isServing), SECOND / 4);
    assertThat(handedOver, greaterThanOrEqualTo(0L));
    assertThat(run.world().timeToAcceptChange(SECOND) >= 0, is(true));
  }

  @Test
  void joiningNodeMayCrashWhileCopying() {
    for (long seed = 1; seed <= 40; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), seed, 0);
      run.submitMany(20, 30_000, "m");
      run.fault(Kind.REPLACE, 2, 50_000);
      run.advance(50_000 + seed * 10_000);
      run.fault(Kind.LOSE_POWER, 2, DOWNTIME);
      run.advance(DOWNTIME + SYNC_MICROS);
      assertThat(
          "seed " + seed,
          run.world().timeToAcceptChange(ACCEPT_TIMEOUT_MICROS),
          greaterThanOrEqualTo(0L));
    }
  }
}
