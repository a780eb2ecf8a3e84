package slateslip.simulation.agents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.junit.jupiter.api.Test;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.simulation.agents.AgentFault.Kind;

/** A response reaches only the call that it is to, also over the lives of the agent in between. */
final class MisroutedResponseTest {
  private static final long SECOND = DirectedRun.SECOND;

  /**
   * An agent forwards an order and is killed; the commit waits for a slow disk, and the response
   * comes to the agent's next life, which has forwarded another order meanwhile.
   */
  @Test
  void responseToEarlierIncarnationIsIgnored() {
    int clear = 0;
    for (long seed = 1; seed <= 60; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(4, 1), seed, 0);
      run.take(ConfigurationChange.complete(0, 1, "first"));
      ControlMachine forwarding = run.world().controlMachines().get(3);
      run.fault(Kind.DISK_SLOW, 1, 2 * SECOND);
      run.world().history().sent(ConfigurationChange.complete(1, 2, "earlier"));
      run.world()
          .call(forwarding, ConfigurationChange.complete(1, 2, "earlier").call(), response -> {});
      run.pass(3_000 + seed * 1_000);
      forwarding.kill();
      run.pass(20_000);
      run.world().start(forwarding, false);
      run.pass(150_000 + seed * 2_000);
      OperatorResponse response = run.send(forwarding, ConfigurationChange.complete(1, 3, "later"));
      clear += response != null && response.status() != OperatorResponse.UNAVAILABLE ? 1 : 0;
    }
    assertThat(clear, greaterThan(0));
  }

  @Test
  void acknowledgementOfEarlierIncarnationIsIgnored() {
    for (long seed = 1; seed <= 40; seed++) {
      DirectedRun run = new DirectedRun(AgentWorld.Shape.of(3, 1), seed, 0);
      run.take(ConfigurationChange.complete(0, 1, "first"));
      for (int kill = 0; kill < 4; kill++) {
        run.fault(Kind.KILL, kill, 50_000);
        run.pass(SECOND);
      }
      assertThat(run.world().timeToTakeChange(4 * SECOND), greaterThanOrEqualTo(0L));
    }
  }
}
