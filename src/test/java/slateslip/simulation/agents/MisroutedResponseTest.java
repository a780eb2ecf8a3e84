package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.junit.jupiter.api.Test;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.simulation.agents.AgentFault.Kind;

/** Tests that a response completes only its own request, even if the agent restarts in between. */
final class MisroutedResponseTest {
  private static final long SECOND = DirectedRun.SECOND;

  /**
   * An agent forwards a change and is killed while the commit waits for a slow disk. The response
   * arrives at the agent's next incarnation, which has forwarded another change in the meantime.
   */
  @Test
  void responseToEarlierIncarnationIsIgnored() {
    int definiteResponses = 0;
    for (long seed = 1; seed <= 60; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(4, 1), seed, 0);
      run.submit(ConfigurationChange.complete(0, 1, "first"));
      ControlMachine forwarding = run.world().controlMachines().get(3);
      run.fault(Kind.DISK_SLOW, 1, 2 * SECOND);
      run.world().history().sent(ConfigurationChange.complete(1, 2, "earlier"));
      run.world()
          .call(forwarding, ConfigurationChange.complete(1, 2, "earlier").call(), response -> {});
      run.advance(3_000 + seed * 1_000);
      forwarding.kill();
      run.advance(20_000);
      run.world().start(forwarding, false);
      run.advance(150_000 + seed * 2_000);
      OperatorResponse response = run.send(forwarding, ConfigurationChange.complete(1, 3, "later"));
      definiteResponses +=
          response != null && response.status() != OperatorResponse.UNAVAILABLE ? 1 : 0;
    }
    assertThat(definiteResponses, greaterThan(0));
  }

  @Test
  void acknowledgementOfEarlierIncarnationIsIgnored() {
    for (long seed = 1; seed <= 40; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), seed, 0);
      run.submit(ConfigurationChange.complete(0, 1, "first"));
      for (int kill = 0; kill < 4; kill++) {
        run.fault(Kind.KILL, kill, 50_000);
        run.advance(SECOND);
      }
      assertThat(run.world().timeToAcceptChange(4 * SECOND), greaterThanOrEqualTo(0L));
    }
  }
}
