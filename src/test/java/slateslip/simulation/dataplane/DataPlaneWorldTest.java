package slateslip.simulation.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import org.junit.jupiter.api.Test;
import slateslip.routing.FleetRouter;

/** Plays random schedules of faults against the routers, unchanged. */
class DataPlaneWorldTest {
  @Test
  void seedRepeatsARunExactly() {
    for (long seed = 1; seed <= 5; seed++) {
      DataPlaneWorld.Result first = DataPlaneWorld.run(WorldPlans.random(seed), FleetRouter::new);
      DataPlaneWorld.Result again = DataPlaneWorld.run(WorldPlans.random(seed), FleetRouter::new);
      assertThat(first.requests(), greaterThan(0));
      assertThat(again.digest(), equalTo(first.digest()));
      assertThat(again.violations(), equalTo(first.violations()));
    }
  }
}
