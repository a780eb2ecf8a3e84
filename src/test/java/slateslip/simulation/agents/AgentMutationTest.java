package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import slateslip.simulation.agents.AgentFault.Kind;

/**
 * Tests that the checks detect each deliberate defect of the control plane: at least one random
 * schedule must violate an invariant. {@link KeyLeaseTest} tests the defects of the key lease,
 * {@link SlowLinkTest} those of transfers over slow links.
 */
final class AgentMutationTest {
  private static final long SEEDS = 300;

  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.MATCH_NONE,
      names = {"NONE", "LEASES_.*", "SLOW_LINK_.*"})
  void mutationViolatesInvariant(AgentMutation mutation) {
    AgentScheduleRunner runner = new AgentScheduleRunner(mutation, kinds(mutation));
    Optional<String> violation = Optional.empty();
    for (long seed = 1; seed <= SEEDS && violation.isEmpty(); seed++) {
      violation = runner.run(seed).violation();
    }
    assertThat(mutation + " is detected", violation.isPresent(), is(true));
  }

  /** Returns the kinds of faults that reveal the defect with the fewest schedules. */
  private static List<Kind> kinds(AgentMutation mutation) {
    return switch (mutation) {
      case SERVES_WITHOUT_MAJORITY, ALWAYS_REPORTS_CURRENT, KEEPS_DEAD_STREAMS ->
          List.of(Kind.ISOLATE_PRIMARY, Kind.ISOLATE, Kind.PARTITION_PRIMARY_FROM_ALL);
      case IGNORES_DELIVERY, IGNORES_STORAGE_ACKNOWLEDGEMENT -> List.of(Kind.KILL_DATA_PLANE);
      default -> Kind.ofFastLinks();
    };
  }
}
