package slateslip.simulation.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import slateslip.routing.FleetRouter;

/**
 * Runs the production routers under random schedules of faults and checks that they break no rule.
 */
class DataPlaneWorldTest {
  private static final long SCHEDULES = 200;

  @Test
  void randomSchedulesBreakNoRule() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      WorldPlan plan = WorldPlans.random(seed);
      DataPlaneWorld.Result result = DataPlaneWorld.run(plan, FleetRouter::new);
      if (!result.violations().isEmpty()) {
        throw new AssertionError(report(plan));
      }
    }
  }

  @Test
  void stalledBackendsBreakNoRule() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      WorldPlan plan = WorldPlans.randomStalls(seed);
      if (!DataPlaneWorld.run(plan, FleetRouter::new).violations().isEmpty()) {
        throw new AssertionError(report(plan));
      }
    }
  }

  /**
   * Guards against a double execution: a backend crashed after a part of a long body had been sent,
   * and the request was retried although the backend had already started to execute the request
   * (fault TWICE).
   */
  @Test
  void partlySentBodiesBreakNoRule() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      WorldPlan plan = WorldPlans.randomLongBodies(seed);
      if (!DataPlaneWorld.run(plan, FleetRouter::new).violations().isEmpty()) {
        throw new AssertionError(report(plan));
      }
    }
  }

  @Test
  void equalSeedsGiveEqualRuns() {
    for (long seed = 1; seed <= 5; seed++) {
      DataPlaneWorld.Result first = DataPlaneWorld.run(WorldPlans.random(seed), FleetRouter::new);
      DataPlaneWorld.Result again = DataPlaneWorld.run(WorldPlans.random(seed), FleetRouter::new);
      assertThat(first.requests(), greaterThan(0));
      assertThat(again.digest(), equalTo(first.digest()));
      assertThat(again.violations(), equalTo(first.violations()));
    }
  }

  /**
   * Returns a message with the seed, up to three violations and the shortest failing schedule
   * found.
   */
  static String report(WorldPlan failing) {
    WorldPlan shortest =
        ScheduleShrinker.shrink(
            failing, plan -> !DataPlaneWorld.run(plan, FleetRouter::new).violations().isEmpty());
    DataPlaneWorld.Result result = DataPlaneWorld.run(shortest, FleetRouter::new);
    return "seed "
        + failing.seed()
        + " breaks "
        + result.violations().stream()
            .limit(3)
            .map(Object::toString)
            .collect(Collectors.joining("; "))
        + " under "
        + shortest.faults().stream().map(Object::toString).collect(Collectors.joining("; "));
  }
}
