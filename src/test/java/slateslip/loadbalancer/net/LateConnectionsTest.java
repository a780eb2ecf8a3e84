package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/** Tests connections to servers that come up late or never, under control of the test. */
class LateConnectionsTest {
  private static final long DIAL_MICROS = 400_000;

  /** A socket that connects only when the test calls {@link #completeConnect}. */
  private static final class DelayedChannel extends InspectableSocketChannel {
    private SocketAddress to;

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) {
      to = remote;
      return false;
    }

    void completeConnect() throws IOException {
      javaChannel().connect(to);
      unsafe().finishConnect();
    }
  }

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
  private final List<DelayedChannel> delayed = new ArrayList<>();
  private int dials;

  /** The number of first connections that are delayed. */
  private int delayedCount;

  private ScriptedPeer server;
  private BackendConnections backends;

  @BeforeEach
  void setUp() throws IOException {
    server = new ScriptedPeer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
  }

  /** Creates the connection pools with the given connect timeout. */
  private void start(long dialMicros) throws Exception {
    ObjectNode config =
        (ObjectNode)
            new ObjectMapper()
                .readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
    ((ObjectNode) config.get("settings").get("caps")).put("dial-timeout-us", dialMicros);
    backends =
        loop.submit(
                () ->
                    new BackendConnections(
                        loop,
                        AgentConfig.of(config),
                        10,
                        new RequestStatistics(),
                        () -> {
                          if (dials++ >= delayedCount) {
                            return new InspectableSocketChannel();
                          }
                          delayed.add(new DelayedChannel());
                          return delayed.get(delayed.size() - 1);
                        }))
            .sync()
            .getNow();
    loop.submit(
            () -> backends.addSelf(1, (InetSocketAddress) server.listener.getLocalSocketAddress()))
        .sync();
  }

  @AfterEach
  void tearDown() throws IOException {
    server.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private static OutgoingRequest outgoing() {
    return new OutgoingRequest(
        HttpMethod.GET, "/lookup", new DefaultHttpHeaders(), BackendConnections.NO_BODY);
  }

  /** Sends a request with the given timeout, 0 for none, and returns the outcome of the attempt. */
  private Outcome send(long micros) throws Exception {
    loop.submit(
            () -> backends.send(1, outgoing(), micros, result -> outcomes.add(result.outcome())))
        .sync();
    return outcomes.poll(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Guards against an attempt that fails because its only connection does not come up. */
  @Test
  void hangingConnectGetsSecondConnect() throws Exception {
    start(DIAL_MICROS);
    delayedCount = 1;
    assertEquals(Outcome.OK, send(0));
    assertEquals(2, dials);
    assertEquals(1, server.requests.size());
  }

  /**
   * The two connection attempts together take no longer than the connect timeout, because the
   * deduplication window of a retry depends on that.
   */
  @Test
  void twoHangingConnectsEndOnce() throws Exception {
    start(DIAL_MICROS);
    delayedCount = 2;
    assertEquals(Outcome.CONNECT_FAILED, send(0));
    for (DelayedChannel each : delayed) {
      assertTrue(each.config().getConnectTimeoutMillis() <= DIAL_MICROS / 1000);
    }
    int both =
        delayed.get(0).config().getConnectTimeoutMillis()
            - delayed.get(1).config().getConnectTimeoutMillis();
    assertEquals(DIAL_MICROS / 1000 / 8, both, "the second timeout is shorter by the delay");
    assertEquals(2, dials);
    assertEquals(0, loop.submit(backends::connections).sync().getNow());
    assertNull(outcomes.poll());
  }

  /**
   * Guards against a late connection that is closed, so that the next request has to connect again.
   */
  @Test
  void lateConnectionServesNextRequest() throws Exception {
    start(60_000_000);
    delayedCount = 1;
    assertEquals(Outcome.TIMEOUT, send(1_000));
    loop.submit(
            () -> {
              delayed.get(0).completeConnect();
              return null;
            })
        .sync();
    assertEquals(Outcome.OK, send(0));
    assertEquals(1, dials);
  }

  @Test
  void connectionToRemovedServerIsClosed() throws Exception {
    start(60_000_000);
    delayedCount = 1;
    loop.submit(() -> backends.send(1, outgoing(), 0, result -> outcomes.add(result.outcome())))
        .sync();
    loop.submit(() -> backends.remove(1)).sync();
    assertEquals(
        Outcome.NEVER_SENT, outcomes.poll(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    loop.submit(
            () -> {
              delayed.get(0).completeConnect();
              return null;
            })
        .sync();
    assertEquals(0, loop.submit(backends::connections).sync().getNow());
    assertEquals(0, server.requests.size());
  }
}
