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

/** Connections to servers that come up late or never, as the test lets them. */
class LateConnectionsTest {
  private static final long DIAL_MICROS = 400_000;

  /** A socket that connects only when the test says so. */
  private static final class DelayedChannel extends InspectableSocketChannel {
    private SocketAddress to;

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) {
      to = remote;
      return false;
    }

    void comeUp() throws IOException {
      javaChannel().connect(to);
      unsafe().finishConnect();
    }
  }

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
  private final List<DelayedChannel> queued = new ArrayList<>();
  private int dials;

  /** So many of the first connections are held. */
  private int late;

  private ScriptedPeer server;
  private BackendConnections backends;

  @BeforeEach
  void set() throws IOException {
    server = new ScriptedPeer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
  }

  /** Connections may take so long to come up. */
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
                          if (dials++ >= late) {
                            return new InspectableSocketChannel();
                          }
                          queued.add(new DelayedChannel());
                          return queued.get(queued.size() - 1);
                        }))
            .sync()
            .getNow();
    loop.submit(
            () -> backends.addSelf(1, (InetSocketAddress) server.listener.getLocalSocketAddress()))
        .sync();
  }

  @AfterEach
  void strike() throws IOException {
    server.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private static OutgoingRequest outgoing() {
    return new OutgoingRequest(
        HttpMethod.GET, "/lookup", new DefaultHttpHeaders(), BackendConnections.NO_BODY);
  }

  /** How an attempt ends that may take so long; 0 is for ever. */
  private Outcome send(long micros) throws Exception {
    loop.submit(
            () -> backends.send(1, outgoing(), micros, result -> outcomes.add(result.outcome())))
        .sync();
    return outcomes.poll(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS);
  }

  /** Failed before: the attempt ended as one that could not connect. */
  @Test
  void hangingConnectGetsSecondConnect() throws Exception {
    start(DIAL_MICROS);
    late = 1;
    assertEquals(Outcome.OK, send(0));
    assertEquals(2, dials);
    assertEquals(1, server.requests.size());
  }

  /** Both dials together take no longer than one may: a repeat's window depends on that. */
  @Test
  void twoHangingConnectsEndOnce() throws Exception {
    start(DIAL_MICROS);
    late = 2;
    assertEquals(Outcome.CONNECT_FAILED, send(0));
    for (DelayedChannel each : queued) {
      assertTrue(each.config().getConnectTimeoutMillis() <= DIAL_MICROS / 1000);
    }
    int both =
        queued.get(0).config().getConnectTimeoutMillis()
            - queued.get(1).config().getConnectTimeoutMillis();
    assertEquals(DIAL_MICROS / 1000 / 8, both, "the second is given as much less as it is later");
    assertEquals(2, dials);
    assertEquals(0, loop.submit(backends::connections).sync().getNow());
    assertNull(outcomes.poll());
  }

  /** Failed before: it was closed, and the next request had to dial again. */
  @Test
  void lateConnectionServesNextRequest() throws Exception {
    start(60_000_000);
    late = 1;
    assertEquals(Outcome.TIMEOUT, send(1_000));
    loop.submit(
            () -> {
              queued.get(0).comeUp();
              return null;
            })
        .sync();
    assertEquals(Outcome.OK, send(0));
    assertEquals(1, dials);
  }

  @Test
  void connectionToRemovedServerIsClosed() throws Exception {
    start(60_000_000);
    late = 1;
    loop.submit(() -> backends.send(1, outgoing(), 0, result -> outcomes.add(result.outcome())))
        .sync();
    loop.submit(() -> backends.remove(1)).sync();
    assertEquals(
        Outcome.NEVER_SENT, outcomes.poll(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
    loop.submit(
            () -> {
              queued.get(0).comeUp();
              return null;
            })
        .sync();
    assertEquals(0, loop.submit(backends::connections).sync().getNow());
    assertEquals(0, server.requests.size());
  }
}
