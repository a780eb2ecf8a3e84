package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/**
 * Tests that discovery and servers are reached and clients are served while file descriptors are
 * scarce.
 */
class DescriptorsTest {
  private static final ScriptedPeer.Script SERVES =
      (message, socket) -> ScriptedPeer.respond(socket, 200, "", "served");
  private static final int MAX_CONNECTIONS = 12;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private LoopbackCluster fixture;
  private volatile boolean stopped;

  @BeforeEach
  void setUp() throws IOException {
    fixture = new LoopbackCluster();
    ((ObjectNode) fixture.config.get("limits")).put("sockets", 40 + 2 * MAX_CONNECTIONS);
  }

  @AfterEach
  void tearDown() throws IOException {
    stopped = true;
    fixture.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /**
   * Guards against an attempt that never ends, and against a connection that is counted although no
   * socket was opened.
   */
  @Test
  void attemptWithoutSocketIsNeverSent() throws Exception {
    ScriptedPeer server = fixture.peer(SERVES);
    AtomicInteger socketCount = new AtomicInteger(-2 * MAX_CONNECTIONS);
    BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    BackendConnections backends =
        loop.submit(
                () ->
                    new BackendConnections(
                        loop,
                        AgentConfig.of(fixture.config),
                        MAX_CONNECTIONS,
                        new RequestStatistics(),
                        () -> {
                          if (socketCount.getAndIncrement() < 0) {
                            throw new ChannelException("too many open files");
                          }
                          return new InspectableSocketChannel();
                        }))
            .sync()
            .getNow();
    for (int i = 0; i <= 2 * MAX_CONNECTIONS; i++) {
      loop.submit(
              () -> {
                backends.addSelf(
                    1,
                    new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), server.listener.getLocalPort()));
                backends.send(
                    1,
                    new OutgoingRequest(
                        HttpMethod.GET,
                        "/lookup",
                        new DefaultHttpHeaders(),
                        BackendConnections.NO_BODY),
                    0,
                    result -> outcomes.add(result.outcome()));
              })
          .sync();
      assertEquals(
          i < 2 * MAX_CONNECTIONS ? Outcome.NEVER_SENT : Outcome.OK,
          outcomes.poll(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }
    assertTrue(loop.submit(backends::connections).sync().getNow() <= 1);
  }

  /** Guards against a discovery call that is lost and never repeated. */
  @Test
  void discoveryCallWithoutSocketIsRetried() throws Exception {
    fixture.server(SERVES);
    AtomicInteger socketCount = new AtomicInteger(-2);
    List<String> failures = new ArrayList<>();
    CountDownLatch listed = new CountDownLatch(1);
    Discovery discovery =
        new Discovery(
            loop,
            AgentConfig.of(fixture.config),
            new Discovery.Listener() {
              @Override
              public void updateServers(
                  LoadBalancer.ListKind kind, List<Discovery.ListedEndpoint> endpoints) {
                listed.countDown();
              }

              @Override
              public void failed(String why) {
                failures.add(why + (loop.inEventLoop() ? "" : " on another thread"));
              }
            },
            () -> {
              if (socketCount.getAndIncrement() < 0) {
                throw new ChannelException("too many open files");
              }
              return new NioSocketChannel();
            });
    loop.submit(discovery::watch).sync();
    assertTrue(listed.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    assertEquals(
        List.of("no socket", "no socket"),
        loop.submit(() -> List.copyOf(failures)).sync().getNow());
  }

  /**
   * Idle clients use up all connections and more clients try to connect, from the start of the
   * agent and while discovery is down. The agent must become ready, serve requests and use the list
   * that discovery has after its return.
   */
  @Test
  void idleClientsLeaveDescriptorsForOthers() throws Exception {
    fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
    ScriptedPeer replacement =
        fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new"));
    int port = fixture.discovery.listener.getLocalPort();
    fixture.discovery.close();
    fixture.agent = Agent.start(AgentConfig.of(fixture.config));
    AtomicInteger idle = new AtomicInteger();
    for (int i = 0; i < 4 * MAX_CONNECTIONS; i++) {
      boolean sendsRequest = i % 2 == 0;
      ScriptedPeer.daemon(() -> runIdleClient(sendsRequest, idle));
    }
    fixture.awaitReady();
    LoopbackCluster.await(
        // Some clients have been closed because of the limit and have connected again.
        () -> idle.get() > 4 * MAX_CONNECTIONS);
    assertEquals("old", fixture.call("order").text());
    String list =
        "{\"index\":7,\"snapshot\":true,\"endpoints\":["
            + LoopbackCluster.endpoint(2, replacement.address(), "Ready")
            + "]}";
    ScriptedPeer back =
        new ScriptedPeer(
            port,
            (message, socket) -> {
              // The list is sent whatever version the agent has, because the agent may have
              // received another list from the first discovery peer just before that peer closed.
              if (!message.target().contains("since=7")) {
                ScriptedPeer.respond(socket, 200, "", list);
              }
            });
    fixture.peers.add(back);
    LoopbackCluster.await(() -> !back.requests.isEmpty());
    LoopbackCluster.await(
        () -> back.requests.stream().anyMatch(each -> each.target().contains("since=7")));
    for (int i = 0; i < 10; i++) {
      assertEquals("new", fixture.call("order").text());
      assertTrue(
          fixture.agent.connections() <= 2 * MAX_CONNECTIONS + 16,
          "the limit plus the connections that may be accepted at once");
    }
  }

  /**
   * Runs a client that stays connected without a request, or with a single health check, and that
   * connects again as soon as it is closed.
   */
  private void runIdleClient(boolean sendsRequest, AtomicInteger dialled) {
    while (!stopped) {
      try (Socket client =
          new Socket(InetAddress.getLoopbackAddress(), fixture.agent.address().getPort())) {
        dialled.incrementAndGet();
        if (sendsRequest) {
          ScriptedPeer.write(client, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        client.getInputStream().readAllBytes();
      } catch (IOException e) {
        // The agent closed the connection before it read the request.
      }
    }
  }
}
