package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import slateslip.simulation.agents.AgentFault.Kind;

/**
 * Each fault put into the control side breaks a rule in some schedule of the usual kinds; those of
 * the key lease are caught in {@link KeyLeaseTest}.
 */
final class AgentMutationTest {
  private static final long SEEDS = 300;

  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.MATCH_NONE,
      names = {"NONE", "LEASES_.*"})
  void isCaught(AgentMutation mutation) {
    AgentScheduleRunner runner = new AgentScheduleRunner(mutation, kinds(mutation));
    Optional<String> caught = Optional.empty();
    for (long seed = 1; seed <= SEEDS && caught.isEmpty(); seed++) {
      caught = runner.play(seed).violation();
    }
    assertThat(mutation + " is caught", caught.isPresent(), is(true));
  }

  /** The kinds of faults that bring it to light soonest. */
  private static List<Kind> kinds(AgentMutation mutation) {
    return switch (mutation) {
      case SERVES_UNCONFIRMED, ALWAYS_CURRENT, KEEPS_DEAD_STREAMS ->
          List.of(Kind.ISOLATE_PRIMARY, Kind.ISOLATE, Kind.PARTITION_PRIMARY_FROM_ALL);
      case IGNORES_DELIVERY, IGNORES_STORED -> List.of(Kind.KILL_DATA_PLANE);
      default -> List.of(Kind.values());
    };
  }
}
