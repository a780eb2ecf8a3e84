package slateslip.loadbalancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.LoadBalancer.ListKind;
import slateslip.loadbalancer.LoadBalancer.Outcome;
import slateslip.loadbalancer.LoadBalancer.Permits;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;
import slateslip.loadbalancer.LoadBalancer.Server;

/**
 * Tests that servers in warm-up, and servers that appear to have restarted, receive few requests at
 * first.
 */
class WarmingServerTest {
  private static int sentTo(FakeHost host, long server, long firstId) {
    return (int)
        host.actions("send").stream()
            .filter(a -> a.server() == server && a.id() >= firstId)
            .count();
  }

  @Test
  void warmingServerGetsItsFractionWithoutBurst() {
    FakeHost host =
        new FakeHost(FakeHost.safeSettings())
            .fullList(FakeHost.server(1, 0), FakeHost.server(2, 0));
    for (int i = 0; i < 200; i++) {
      host.serve(25_000);
    }
    host.list(ListKind.DELTA, FakeHost.server(3, 0, Phase.READY, host.now));
    long from = host.request();
    host.complete(from, 0, Outcome.OK, 1000);
    for (int i = 0; i < 40; i++) {
      host.serve(25_000);
    }
    // A warm server receives about 20 requests per second. A server that starts its warm-up has at
    // least a fifth of that capacity: 4 requests in this second, plus 1 initial request.
    int sent = sentTo(host, 3, from);
    assertTrue(sent >= 2 && sent <= 7, "sent " + sent);
  }

  @Test
  void loneWarmingServerIsNeitherFloodedNorStarved() {
    FakeHost host =
        new FakeHost(FakeHost.safeSettings())
            .fullList(FakeHost.server(1, 0), FakeHost.server(2, 0));
    for (int i = 0; i < 200; i++) {
      host.serve(25_000);
    }
    host.fullList(FakeHost.server(3, 0, Phase.READY, host.now));
    for (int i = 0; i < 100; i++) {
      host.request();
      host.advance(10_000);
    }
    int sent = sentTo(host, 3, 0);
    assertTrue(sent >= 1 && sent <= 8, "sent " + sent);
  }

  @Test
  void serverBackAfterOutageWarmsUp() {
    FakeHost host = new FakeHost(FakeHost.safeSettings()).fullList(FakeHost.server(1, 0));
    host.serve(25_000);
    long one = host.request();
    long other = host.request();
    host.complete(one, 0, Outcome.RESET, 1000);
    host.complete(other, 0, Outcome.CONNECT_FAILED, 1000);
    host.advance(1_000_000); // a process needs at least 1 s to restart
    host.balancer.probed(host.now, 1, Outcome.OK, 1000, new double[0]);
    assertTrue(host.logged("cold: answers again after a break"));
  }

  /**
   * Guards against treating reset connections as restarts: on a network that breaks connections, a
   * third of the servers were in warm-up at any time.
   */
  @Test
  void resetsAloneAreNotARestart() {
    FakeHost host = new FakeHost(FakeHost.safeSettings()).fullList(FakeHost.server(1, 0));
    host.serve(25_000);
    long one = host.request();
    long other = host.request();
    host.complete(one, 0, Outcome.RESET, 1000);
    host.complete(other, 0, Outcome.RESET, 1000);
    host.balancer.probed(host.now, 1, Outcome.RESET, 1000, new double[0]);
    host.advance(1_000_000);
    host.balancer.probed(host.now, 1, Outcome.OK, 1000, new double[0]);
    assertFalse(host.logged("cold"));
  }

  /**
   * Guards against treating an occasional broken connection as a restart: each put its server into
   * warm-up for 5 s.
   */
  @Test
  void serverThatRespondsRightAfterResetsIsNotInWarmup() {
    FakeHost host = new FakeHost(FakeHost.safeSettings()).fullList(FakeHost.server(1, 0));
    for (int i = 0; i < 10; i++) {
      host.serve(20_000);
    }
    for (int i = 0; i < 3; i++) {
      long id = host.request();
      host.advance(5_000);
      host.complete(id, 0, Outcome.RESET, 5_000);
      host.advance(50_000);
    }
    host.advance(100_000);
    host.serve(20_000);
    assertFalse(host.logged("cold"));
  }

  /**
   * Checks the warm-up limit (rule 4) for the sum of all agents. Guards against two faults: each
   * agent had a token for each server in warm-up from the start, and took the request rate of the
   * few servers that it had used for the rate of all.
   */
  @Test
  void lightAgentsTogetherRespectWarmupRate() {
    for (int agents : new int[] {40, 400}) {
      Server[] list = new Server[20];
      for (int i = 0; i < list.length; i++) {
        list[i] = FakeHost.server(i + 1, 0);
      }
      int cold = 0;
      int all = 0;
      // All agents together send 200 requests per second, 10 to each server: each agent sends one
      // request in agents / 200 s.
      for (int seed = 0; seed < agents; seed++) {
        FakeHost host =
            new FakeHost(
                    FakeHost.settings(
                        List.of(FakeHost.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(4, false, true, false, false, 0),
                        1,
                        agents),
                    seed)
                .fullList(list);
        SplittableRandom random = new SplittableRandom(seed);
        long from = 0;
        long start = host.now;
        while (host.now < start + 14 * FakeHost.SECOND) {
          if (from == 0 && host.now >= start + 12 * FakeHost.SECOND) {
            host.list(ListKind.DELTA, FakeHost.server(1, 0, Phase.READY, host.now));
            from = host.serve(20_000);
            continue;
          }
          if (random.nextDouble() < 200.0 / agents * 0.04) {
            host.serve(20_000);
          }
          host.advance(20_000);
        }
        cold += sentTo(host, 1, from);
        long first = from;
        all += (int) host.actions("send").stream().filter(a -> a.id() >= first).count();
      }
      // A warm server receives 20 requests in these 2 s. The server in warm-up has at least a fifth
      // of that capacity, and up to a quarter by the end: 20 x 0.2 to 20 x 0.3 requests are
      // allowed, and the limit of 12 leaves room for chance.
      assertTrue(cold <= 12, agents + " agents: " + cold + " of " + all);
    }
  }
}
