package slateslip.simulation.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import slateslip.routing.FleetRouter;
import slateslip.simulation.dataplane.Violation.Rule;

/**
 * Checks the simulation itself: the random schedules must detect each fault that is put into the
 * router.
 */
class MutationTest {
  private static final long SCHEDULES = 200;

  @Test
  void retryAfterResetIsDetected() {
    assertThat(isDetected(Mutants.retriesAfterReset(), Rule.RAN_TWICE), is(true));
  }

  @Test
  void treatingPartlySentRequestsAsNotSentIsDetected() {
    assertThat(isDetectedWithLongBodies(Rule.RAN_TWICE), is(true));
    assertThat(isDetectedWithLongBodies(Rule.PROMISE_BROKEN), is(true));
  }

  private static boolean isDetectedWithLongBodies(Rule rule) {
    return LongStream.rangeClosed(1, SCHEDULES)
        .mapToObj(WorldPlans::randomLongBodies)
        .map(
            plan ->
                DataPlaneWorld.run(plan, FleetRouter::new, Mutants.TreatsPartlySentAsNotSent::new))
        .flatMap(result -> result.violations().stream())
        .anyMatch(violation -> violation.rule() == rule);
  }

  @Test
  void resumingFromTheWrongEventIsDetected() {
    assertThat(isDetected(Mutants.resumesFromTheWrongEvent(), Rule.STREAM_ORDER), is(true));
  }

  @Test
  void restartingBrokenStreamsIsDetected() {
    assertThat(isDetected(Mutants.restartsBrokenStreams(), Rule.STREAM_ORDER), is(true));
  }

  @Test
  void sendingToDrainingBackendsIsDetected() {
    assertThat(isDetected(Mutants.ignoresDraining(), Rule.DRAIN), is(true));
  }

  @Test
  void respondingTwiceIsDetected() {
    assertThat(isDetected(Mutants.respondsTwice(), Rule.ANSWERS), is(true));
  }

  @Test
  void guaranteeingNonExecutionAfterAPossibleExecutionIsDetected() {
    assertThat(isDetected(Mutants.guaranteesNonExecutionWrongly(), Rule.PROMISE_BROKEN), is(true));
  }

  @Test
  void missingResponseAtTimeoutIsDetected() {
    assertThat(isDetected(Mutants.omitsTimeoutResponse(), Rule.HELD), is(true));
  }

  @Test
  void hidingSpentUnitsIsDetected() {
    assertThat(isDetected(Mutants.reportsNoSpending(), Rule.QUOTA), is(true));
  }

  @Test
  void takingFullQuotasIsDetected() {
    assertThat(isDetected(Mutants.usesFullQuotas(), Rule.QUOTA), is(true));
  }

  @Test
  void takingTheWholeRetryBudgetIsDetected() {
    assertThat(isDetected(Mutants.usesFullRetryBudget(), Rule.RETRY_BUDGET), is(true));
  }

  @Test
  void shrunkScheduleStillFailsWithASingleFault() {
    DataPlaneWorld.RouterFactory mutant = Mutants.ignoresDraining();
    long seed = 1;
    while (!rules(WorldPlans.random(seed), mutant).contains(Rule.DRAIN)) {
      seed++;
    }
    WorldPlan failing = WorldPlans.random(seed);
    WorldPlan shortest =
        ScheduleShrinker.shrink(failing, plan -> rules(plan, mutant).contains(Rule.DRAIN));
    assertThat(rules(shortest, mutant), hasItem(Rule.DRAIN));
    assertThat(shortest.faults().size(), is(1));
    assertThat(shortest.faults().size(), lessThanOrEqualTo(failing.faults().size()));
  }

  private static boolean isDetected(DataPlaneWorld.RouterFactory mutant, Rule rule) {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      if (rules(WorldPlans.random(seed), mutant).contains(rule)) {
        return true;
      }
    }
    return false;
  }

  private static Set<Rule> rules(WorldPlan plan, DataPlaneWorld.RouterFactory factory) {
    return DataPlaneWorld.run(plan, factory).violations().stream()
        .map(Violation::rule)
        .collect(Collectors.toCollection(() -> EnumSet.noneOf(Rule.class)));
  }
}
