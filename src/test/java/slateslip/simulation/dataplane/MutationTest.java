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

/** The world can fail: each fault put into the router is caught within the random schedules. */
class MutationTest {
  private static final long SCHEDULES = 200;

  @Test
  void repeatAfterResetIsCaught() {
    assertThat(caught(Mutants.repeatsAfterReset(), Rule.RAN_TWICE), is(true));
  }

  @Test
  void takingAPartOfARequestForNothingIsCaught() {
    assertThat(caughtWithPartlySent(Rule.RAN_TWICE), is(true));
    assertThat(caughtWithPartlySent(Rule.PROMISE_BROKEN), is(true));
  }

  private static boolean caughtWithPartlySent(Rule rule) {
    return LongStream.rangeClosed(1, SCHEDULES)
        .mapToObj(WorldPlans::randomLongBodies)
        .map(
            plan ->
                DataPlaneWorld.run(plan, FleetRouter::new, Mutants.NotSentBeforeTheLastByte::new))
        .flatMap(result -> result.violations().stream())
        .anyMatch(violation -> violation.rule() == rule);
  }

  @Test
  void resumingFromTheWrongEventIsCaught() {
    assertThat(caught(Mutants.resumesFromTheWrongEvent(), Rule.STREAM_ORDER), is(true));
  }

  @Test
  void startingBrokenStreamsAnewIsCaught() {
    assertThat(caught(Mutants.startsBrokenStreamsAnew(), Rule.STREAM_ORDER), is(true));
  }

  @Test
  void sendingToDrainingBackendsIsCaught() {
    assertThat(caught(Mutants.ignoresDraining(), Rule.DRAIN), is(true));
  }

  @Test
  void answeringTwiceIsCaught() {
    assertThat(caught(Mutants.respondsTwice(), Rule.ANSWERS), is(true));
  }

  @Test
  void promisingWhatMayHaveRunIsCaught() {
    assertThat(caught(Mutants.promisesWhatMayHaveRun(), Rule.PROMISE_BROKEN), is(true));
  }

  @Test
  void idleAtTimeoutIsCaught() {
    assertThat(caught(Mutants.idleAtTimeout(), Rule.HELD), is(true));
  }

  @Test
  void hidingWhatWasSpentIsCaught() {
    assertThat(caught(Mutants.hidesItsSpending(), Rule.QUOTA), is(true));
  }

  @Test
  void takingFullQuotasIsCaught() {
    assertThat(caught(Mutants.takesFullQuotas(), Rule.QUOTA), is(true));
  }

  @Test
  void takingTheWholeRetryBudgetIsCaught() {
    assertThat(caught(Mutants.takesFullRetryBudget(), Rule.RETRY_BUDGET), is(true));
  }

  @Test
  void shortenedScheduleStillFailsAndNoFaultCanBeLeftOut() {
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

  private static boolean caught(DataPlaneWorld.RouterFactory mutant, Rule rule) {
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
