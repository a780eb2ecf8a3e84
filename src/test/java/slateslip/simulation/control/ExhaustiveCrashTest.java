package slateslip.simulation.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.simulation.RuleViolation;

/** Three nodes, two changes, one crash at every message, in every way. */
final class ExhaustiveCrashTest {
  /** Two changes to two members, each with its response, and some heartbeats. */
  private static final int MIN_MESSAGES = 12;

  private static final int MAX_MESSAGES = 120;
  private static final long[] DOWN_MICROS = {60_000, 1_500_000};

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void oneCrashAtEveryMessageLosesNothing(boolean primaryFirst) {
    List<String> failures = new ArrayList<>();
    int number = 1;
    while (number <= MAX_MESSAGES && playAll(number, primaryFirst, failures)) {
      number++;
    }
    assertThat(failures, empty());
    assertThat(number, greaterThan(MIN_MESSAGES));
  }

  private static boolean playAll(int number, boolean primaryFirst, List<String> failures) {
    boolean struck = false;
    for (int ways = 0; ways < 8; ways++) {
      for (long down : DOWN_MICROS) {
        CrashAtMessage crash =
            new CrashAtMessage(
                number, (ways & 1) != 0, (ways & 2) != 0, (ways & 4) != 0, down, primaryFirst);
        struck |= play(crash, failures);
      }
    }
    return struck;
  }

  private static boolean play(CrashAtMessage crash, List<String> failures) {
    try {
      return crash.play(Mutation.NONE);
    } catch (RuleViolation violation) {
      failures.add(crash + ": " + violation.getMessage());
      return true;
    }
  }
}
