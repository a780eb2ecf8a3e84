package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.simulation.agents.AgentFault.Kind;

/** Tests competing changes with the same version, and changes that are sent more than once. */
final class RepeatedChangeTest {
  private static final long SECOND = DirectedRun.SECOND;

  @ParameterizedTest
  @ValueSource(ints = {3, 5, 9})
  void onlyOneOfTwoChangesWithSameVersionIsAccepted(int size) {
    for (long seed = 1; seed <= 10; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(size, 1), seed, 0);
      run.submit(ConfigurationChange.complete(0, 3, "first"));
      List<ConfigurationChange> rivals =
          List.of(ConfigurationChange.complete(3, 5, "a"), ConfigurationChange.complete(3, 5, "b"));
      List<OperatorResponse> responses = new ArrayList<>();
      for (ConfigurationChange rival : rivals) {
        run.world().history().sent(rival);
        for (ControlMachine machine : run.world().controlMachines()) {
          run.world()
              .call(
                  machine,
                  rival.call(),
                  response -> {
                    run.world().history().responded(run.now(), rival, 3, response);
                    responses.add(response);
                  });
        }
      }
      run.advance(2 * SECOND);
      assertThat(responses, hasSize(2 * size));
      long accepted =
          responses.stream().filter(each -> each.status() == OperatorResponse.OK).count();
      long rejected =
          responses.stream().filter(each -> each.status() == OperatorResponse.CONFLICT).count();
      assertThat(accepted, is((long) size));
      assertThat(rejected, is((long) size));
    }
  }

  @Test
  void inFlightChangeSurvivesPrimaryCrash() {
    for (long seed = 1; seed <= 60; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), seed, 0);
      run.submit(ConfigurationChange.complete(0, 3, "first"));
      ConfigurationChange change = ConfigurationChange.patch(3, 4, "in-flight");
      ControlMachine primary = run.primary();
      run.world().history().sent(change);
      for (ControlMachine machine : run.world().controlMachines()) {
        run.world()
            .call(
                machine,
                change.call(),
                response -> run.world().history().responded(run.now(), change, 3, response));
      }
      run.advance(seed * 250);
      run.fault(Kind.KILL_PRIMARY, 0, 100_000);
      run.submit(change);
      assertThat(run.send(run.allExcept(primary).get(0), change).status(), is(OperatorResponse.OK));
    }
  }

  @Test
  void repeatedChangeIsRecognizedAfterSnapshotAndLoss() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 5, 0);
    ConfigurationChange first = ConfigurationChange.complete(0, 1, "first");
    run.submit(first);
    ConfigurationChange second = ConfigurationChange.patch(1, 2, "second");
    run.submit(second);
    run.submitMany(500, 400, "m");
    assertAcknowledgedByEveryAgent(run, first, second);
    run.fault(Kind.WIPE_PRIMARY, 0, SECOND);
    run.advance(8 * SECOND);
    assertAcknowledgedByEveryAgent(run, first, second);
    run.fault(Kind.KILL_ALL, 0, SECOND);
    run.advance(4 * SECOND);
    assertAcknowledgedByEveryAgent(run, first, second);
  }

  private static void assertAcknowledgedByEveryAgent(
      DirectedRun run, ConfigurationChange... changes) {
    for (ConfigurationChange change : changes) {
      for (ControlMachine machine : run.world().controlMachines()) {
        OperatorResponse response = run.send(machine, change);
        assertThat(response.status(), is(OperatorResponse.OK));
        assertThat(response.version(), is(change.version()));
      }
    }
  }

  @Test
  void oneByteDifferenceIsAnotherChange() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 6, 0);
    run.submit(ConfigurationChange.complete(0, 3, "base"));
    run.submit(ConfigurationChange.complete(3, 4, "one"));
    ControlMachine any = run.allExcept(run.primary()).get(0);
    assertThat(
        run.send(any, ConfigurationChange.complete(3, 4, "onf")).status(),
        is(OperatorResponse.CONFLICT));
    assertThat(
        run.send(any, ConfigurationChange.patch(3, 4, "ong")).status(),
        is(OperatorResponse.CONFLICT));
    assertThat(
        run.send(any, ConfigurationChange.complete(3, 4, "one")).status(), is(OperatorResponse.OK));
  }
}
