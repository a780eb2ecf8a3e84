package slateslip.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests the events that are generated from a seed. */
class SoakPlanTest {
  private static final int SEEDS = 50;

  private static List<PlannedEvent> draw(long seed) {
    return SoakPlan.draw(new SoakOptions(seed, 30, 3, 3, 24, Path.of(".")));
  }

  @Test
  void sameSeedYieldsSamePlan() {
    assertThat(draw(7), equalTo(draw(7)));
    assertThat(draw(7), not(equalTo(draw(8))));
  }

  @Test
  void seedsYieldEveryKindOfEventForExistingProcesses() {
    Set<PlannedEvent.Kind> kinds = EnumSet.noneOf(PlannedEvent.Kind.class);
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<PlannedEvent> plan = draw(seed);
      kinds.addAll(plan.stream().map(PlannedEvent::kind).collect(Collectors.toSet()));
      assertThat(plan.stream().allMatch(event -> event.target() < 3), is(true));
      assertThat(plan.stream().allMatch(event -> event.atMillis() < 30_000), is(true));
    }
    assertThat(kinds, equalTo(EnumSet.allOf(PlannedEvent.Kind.class)));
  }
}
