package slateslip.loadbalancer.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PowerOfTwoChoicesTest {
  private static final Comparator<Integer> FIRST_DRAWN = (unusedFirst, unusedSecond) -> 0;
  private static final int PICKS = 30_000;

  private final SplittableRandom random = new SplittableRandom(7);

  @Test
  void noCandidateOrOneNeedsNoRandomDraw() {
    assertThat(
        PowerOfTwoChoices.pick(List.<Integer>of(), each -> 0, FIRST_DRAWN, null), nullValue());
    assertThat(PowerOfTwoChoices.pick(List.of(5), each -> 0, FIRST_DRAWN, null), is(5));
  }

  @Test
  void mostLoadedCandidateIsNeverPicked() {
    List<Integer> inFlight = List.of(3, 1, 2);
    Map<Integer, Integer> picks = new HashMap<>();
    for (int i = 0; i < PICKS; i++) {
      picks.merge(
          PowerOfTwoChoices.pick(inFlight, each -> each, FIRST_DRAWN, random), 1, Integer::sum);
    }
    assertThat(picks.containsKey(3), is(false));
    // The least loaded candidate is in two of the three possible pairs.
    assertThat(Math.abs(picks.get(1) - PICKS * 2 / 3) < PICKS / 50, is(true));
  }

  @Test
  void equallyLoadedCandidatesArePickedEvenly() {
    Map<Integer, Integer> picks = new HashMap<>();
    for (int i = 0; i < PICKS; i++) {
      picks.merge(
          PowerOfTwoChoices.pick(List.of(0, 1, 2, 3, 4), each -> 9, FIRST_DRAWN, random),
          1,
          Integer::sum);
    }
    picks.values().forEach(n -> assertThat(Math.abs(n - PICKS / 5) < PICKS / 50, is(true)));
  }

  @Test
  void tieIsDecidedByTheComparator() {
    for (int i = 0; i < 100; i++) {
      int pick =
          PowerOfTwoChoices.pick(
              List.of(8, 4), each -> 1, Comparator.<Integer>naturalOrder(), random);
      assertThat(pick, is(4));
    }
    assertThat(
        PowerOfTwoChoices.less(1, 2, each -> 10 - each, Comparator.<Integer>naturalOrder()), is(2));
  }
}
