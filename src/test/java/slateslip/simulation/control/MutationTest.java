package slateslip.simulation.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Each fault put into the protocol breaks a rule of safety in some schedule. */
final class MutationTest {
  private static final long SEEDS = 1_500;

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void isCaught(Mutation mutation) {
    ScheduleRunner runner = new ScheduleRunner(mutation);
    Optional<String> caught = Optional.empty();
    for (long seed = 1; seed <= SEEDS && caught.isEmpty(); seed++) {
      caught = runner.play(seed).violation().filter(MutationTest::concernsSafety);
    }
    assertThat(mutation + " is caught", caught.isPresent(), is(true));
  }

  private static boolean concernsSafety(String violation) {
    return !violation.equals(ScheduleRunner.NOTHING_TAKEN);
  }
}
