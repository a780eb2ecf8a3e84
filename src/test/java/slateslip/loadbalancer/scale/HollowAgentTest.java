package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.net.AgentConfig;
import slateslip.loadbalancer.net.Discovery.ListedEndpoint;

/** Tests one hollow agent with a clock that only the test advances. */
class HollowAgentTest {
  private static final long RESPONSE_MICROS = 3_000;
  private static final int LOOKUP = 0;

  private final EmbeddedChannel clock = new EmbeddedChannel();
  private final ServerGroundTruth truth = new ServerGroundTruth();
  private final List<Long> applied = new ArrayList<>();
  private long micros = 1_000_000;
  private final HollowAgent agent =
      new HollowAgent(
          clock.eventLoop(),
          AgentConfig.read(Path.of("src/test/resources/config.json")),
          truth,
          new HollowLoad(0, RESPONSE_MICROS, 0),
          () -> micros,
          applied::add);

  HollowAgentTest() {
    clock.freezeTime();
  }

  private static ListedEndpoint server(int id, Phase phase) {
    return new ListedEndpoint(
        new Server(id, 0, 0, 0, phase, 1, 0),
        "s" + id,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
  }

  private void advance(long duration) {
    for (long remaining = duration; remaining > 0; remaining -= 1_000) {
      micros += 1_000;
      clock.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      clock.runScheduledPendingTasks();
    }
  }

  @Test
  void requestIsServedByServer() {
    agent.list(ListKind.FULL, List.of(server(1, Phase.READY), server(2, Phase.READY)));
    agent.request(LOOKUP);
    assertEquals(1, agent.open());
    advance(10_000);
    assertEquals(1, agent.counts().served);
    assertEquals(0, agent.open());
  }

  @Test
  void sendAfterUnannouncedDrainIsCountedAsLate() {
    agent.list(ListKind.FULL, List.of(server(1, Phase.READY)));
    truth.drainStartedAt(1, micros, false);
    advance(6_400_000); // 6 s until the drain counts as announced, plus less than the drain grace
    agent.request(LOOKUP);
    assertEquals(0, agent.counts().lateAfterMade);
    advance(200_000);
    agent.request(LOOKUP);
    assertEquals(1, agent.counts().lateAfterMade);
    assertEquals(0, agent.counts().lateAfterNotified);
  }

  @Test
  void nothingIsSentToDrainingServer() {
    agent.list(ListKind.FULL, List.of(server(1, Phase.READY), server(2, Phase.READY)));
    agent.list(ListKind.DELTA, List.of(server(1, Phase.DRAINING)));
    truth.drainStartedAt(1, micros, true);
    advance(7_000_000);
    for (int i = 0; i < 100; i++) {
      agent.request(LOOKUP);
      advance(5_000);
    }
    assertEquals(100, agent.counts().served);
    assertEquals(0, agent.counts().lateAfterNotified + agent.counts().lateAfterMade);
  }

  @Test
  void requestToRemovedServerGetsFinalResponse() {
    agent.list(ListKind.FULL, List.of(server(1, Phase.READY)));
    truth.drainStartedAt(1, micros, true);
    agent.request(LOOKUP);
    advance(9_000_000);
    HollowCounts counts = agent.counts();
    assertEquals(1, counts.refused + counts.failed);
    assertEquals(0, counts.lost + counts.served);
    assertEquals(0, agent.open());
  }

  @Test
  void settingsOfSameOrOlderVersionAreIgnored() {
    AgentConfig other = AgentConfig.read(Path.of("src/test/resources/config.json"));
    assertTrue(agent.settings(5, other));
    assertFalse(agent.settings(5, other));
    assertFalse(agent.settings(4, other));
    assertTrue(agent.settings(7, other));
    agent.list(ListKind.FULL, List.of(server(1, Phase.READY)));
    agent.request(LOOKUP);
    advance(10_000);
    assertEquals(1, agent.counts().served);
  }

  @Test
  void fingerprintDependsOnlyOnTheList() {
    agent.list(
        ListKind.FULL,
        List.of(server(1, Phase.READY), server(2, Phase.READY), server(3, Phase.READY)));
    agent.list(ListKind.DELTA, List.of(server(2, Phase.DRAINING), server(3, Phase.GONE)));
    List<Server> same =
        List.of(server(2, Phase.DRAINING).server(), server(1, Phase.READY).server());
    assertEquals(Fingerprint.of(same), agent.fingerprint());
    agent.list(ListKind.FULL, List.of(server(1, Phase.READY)));
    assertEquals(Fingerprint.of(List.of(server(1, Phase.READY).server())), agent.fingerprint());
    assertEquals(agent.fingerprint(), applied.get(2));
    assertEquals(0, agent.counts().emptied);
    agent.list(ListKind.DELTA, List.of(server(1, Phase.GONE)));
    assertEquals(1, agent.counts().emptied);
    assertEquals(0, agent.fingerprint());
  }
}
