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

/** Two operators under one number, and orders that are sent again after a lost answer. */
final class RepeatedChangeTest {
  private static final long SECOND = DirectedRun.SECOND;

  @ParameterizedTest
  @ValueSource(ints = {3, 5, 9})
  void ofTwoOrdersUnderOneNumberOneIsTaken(int size) {
    for (long seed = 1; seed <= 10; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(size, 1), seed, 0);
      run.take(ConfigurationChange.complete(0, 3, "first"));
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
      run.pass(2 * SECOND);
      assertThat(responses, hasSize(2 * size));
      long taken = responses.stream().filter(each -> each.status() == OperatorResponse.OK).count();
      long refused =
          responses.stream().filter(each -> each.status() == OperatorResponse.CONFLICT).count();
      assertThat(taken, is((long) size));
      assertThat(refused, is((long) size));
    }
  }

  @Test
  void inFlightChangeSurvivesPrimaryCrash() {
    for (long seed = 1; seed <= 60; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), seed, 0);
      run.take(ConfigurationChange.complete(0, 3, "first"));
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
      run.pass(seed * 250);
      run.fault(Kind.KILL_PRIMARY, 0, 100_000);
      run.take(change);
      assertThat(run.send(run.allBut(primary).get(0), change).status(), is(OperatorResponse.OK));
    }
  }

  @Test
  void repeatedChangeIsRecognizedAfterSnapshotAndLoss() {
    DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), 5, 0);
    ConfigurationChange first = ConfigurationChange.complete(0, 1, "first");
    run.take(first);
    ConfigurationChange second = ConfigurationChange.patch(1, 2, "second");
    run.take(second);
    run.takeMany(500, 400, "m");
    assertKnownEverywhere(run, first, second);
    run.fault(Kind.WIPE_PRIMARY, 0, SECOND);
    run.pass(8 * SECOND);
    assertKnownEverywhere(run, first, second);
    run.fault(Kind.KILL_ALL, 0, SECOND);
    run.pass(4 * SECOND);
    assertKnownEverywhere(run, first, second);
  }

  private static void assertKnownEverywhere(DirectedRun run, ConfigurationChange... changes) {
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
    run.take(ConfigurationChange.complete(0, 3, "base"));
    run.take(ConfigurationChange.complete(3, 4, "one"));
    ControlMachine any = run.allBut(run.primary()).get(0);
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
