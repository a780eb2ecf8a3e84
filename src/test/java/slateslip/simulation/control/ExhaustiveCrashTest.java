package slateslip.simulation.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.simulation.RuleViolation;

/**
 * Tests a cluster of three nodes that commits two changes, with one crash at each message in turn
 * and in every variant of the crash.
 */
final class ExhaustiveCrashTest {
  /**
   * Minimum number of messages: two changes sent to two members, the acknowledgement of each, and
   * some heartbeats.
   */
  private static final int MIN_MESSAGES = 12;

  private static final int MAX_MESSAGES = 120;
  private static final long[] DOWN_MICROS = {60_000, 1_500_000};

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void crashAtAnyMessageLosesNoAcknowledgedChange(boolean primaryFirst) {
    List<String> failures = new ArrayList<>();
    int number = 1;
    while (number <= MAX_MESSAGES && runAllVariants(number, primaryFirst, failures)) {
      number++;
    }
    assertThat(failures, empty());
    assertThat(number, greaterThan(MIN_MESSAGES));
  }

  private static boolean runAllVariants(int number, boolean primaryFirst, List<String> failures) {
    boolean messageReached = false;
    for (int variant = 0; variant < 8; variant++) {
      for (long down : DOWN_MICROS) {
        CrashAtMessage crash =
            new CrashAtMessage(
                number,
                (variant & 1) != 0,
                (variant & 2) != 0,
                (variant & 4) != 0,
                down,
                primaryFirst);
        messageReached |= run(crash, failures);
      }
    }
    return messageReached;
  }

  private static boolean run(CrashAtMessage crash, List<String> failures) {
    try {
      return crash.run(Mutation.NONE);
    } catch (RuleViolation violation) {
      failures.add(crash + ": " + violation.getMessage());
      return true;
    }
  }
}
