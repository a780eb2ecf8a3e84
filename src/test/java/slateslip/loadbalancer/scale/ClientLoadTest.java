package slateslip.loadbalancer.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.scale.BackendStandIns.Mode;
import slateslip.loadbalancer.scale.BackendStandIns.Work;
import slateslip.loadbalancer.scale.ClientLoad.Kind;
import slateslip.loadbalancer.scale.ClientLoad.Outcome;
import slateslip.loadbalancer.scale.ClientLoad.Semantics;

class ClientLoadTest {
  /** At this rate, the calls of a stall of 2.5 s fit into the 256 connections of a client. */
  private static final int CALLS_PER_SECOND = 100;

  private static final List<Kind> KINDS =
      List.of(
          new Kind("lookup", Semantics.SAFE, 2, 60_000),
          new Kind("pay", Semantics.KEYED, 1, 60_000));

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

  @AfterEach
  void shutDownEventLoops() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Map<Outcome, Long> load(InetSocketAddress to, int calls, List<Kind> kinds)
      throws InterruptedException {
    CountDownLatch ended = new CountDownLatch(calls);
    var stream = new ClientLoad.Stream("c", List.of(to), CALLS_PER_SECOND, 1, 0);
    ClientLoad load =
        new ClientLoad(
            group, List.of(stream), kinds, (index, number, outcome, nanos) -> ended.countDown());
    load.begin();
    ended.await();
    load.close();
    return load.counts();
  }

  @Test
  void callOutcomeFollowsBackendMode() throws Exception {
    try (BackendStandIns backends = new BackendStandIns(group, BackendStandIns.Options.atOnce())) {
      var backend = backends.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      var served = load(backend.address(), 50, KINDS);
      assertTrue(served.get(Outcome.SERVED) >= 50, served::toString);
      assertEquals(
          served.get(Outcome.SERVED), served.values().stream().mapToLong(each -> each).sum());
      assertEquals(served.get(Outcome.SERVED), backend.counts().calls());

      backend.set(Mode.DRAINING);
      var refused = load(backend.address(), 5, KINDS);
      assertEquals(refused.get(Outcome.REFUSED), backend.counts().turnedAway());
      assertEquals(0, refused.get(Outcome.SERVED));

      backend.set(Mode.HANGS);
      var unresponsive =
          load(backend.address(), 5, List.of(new Kind("lookup", Semantics.SAFE, 1, 20)));
      assertTrue(unresponsive.get(Outcome.TIMED_OUT) >= 5, unresponsive::toString);
      assertEquals(
          unresponsive.get(Outcome.TIMED_OUT),
          unresponsive.values().stream().mapToLong(each -> each).sum());
    }
    var unreached = load(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), 3, KINDS);
    assertTrue(unreached.get(Outcome.UNREACHED) >= 3, unreached::toString);
  }

  @Test
  void sameSeedGivesSameArrivalsAndServiceTimes() {
    Arrivals one = new Arrivals(5, 49);
    Arrivals other = new Arrivals(5, 49);
    long last = 0;
    for (int i = 0; i < 10_000; i++) {
      last = one.next();
      assertEquals(last, other.next());
    }
    assertEquals(
        10_000 / 49.0, last / 1e9, 10, "10,000 arrivals at 49 per second take about 204 s");
    Work work = new Work(4_000, 0.6);
    assertEquals(work.nanos(3, "/lookup?n=7"), work.nanos(3, "/lookup?n=7"));
    long[] times = new long[1001];
    for (int i = 0; i < times.length; i++) {
      times[i] = work.nanos(3, "/lookup?n=" + i);
    }
    Arrays.sort(times);
    assertEquals(4e6, (double) times[500], 0.5e6, "the median service time is about 4 ms");
  }
}
