package slateslip.simulation.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that the checks detect each deliberate defect of the protocol: at least one schedule must
 * violate a safety invariant. {@link ZoneLossTest} tests the defects of placement.
 */
final class MutationTest {
  private static final long SEEDS = 1_500;

  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.EXCLUDE,
      names = {"NONE", "IGNORES_ZONES"})
  void mutationViolatesSafetyInvariant(Mutation mutation) {
    ScheduleRunner runner = new ScheduleRunner(mutation);
    Optional<String> violation = Optional.empty();
    for (long seed = 1; seed <= SEEDS && violation.isEmpty(); seed++) {
      violation = runner.run(seed).violation().filter(MutationTest::concernsSafety);
    }
    assertThat(mutation + " is detected", violation.isPresent(), is(true));
  }

  private static boolean concernsSafety(String violation) {
    return !violation.equals(ScheduleRunner.NO_CHANGE_ACCEPTED);
  }
}
