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
 * What holds while descriptors are scarce: discovery and servers are reached, and clients served.
 */
class DescriptorsTest {
  private static final ScriptedPeer.Script SERVES =
      (message, socket) -> ScriptedPeer.respond(socket, 200, "", "served");
  private static final int EACH = 12;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private LoopbackCluster fixture;
  private volatile boolean over;

  @BeforeEach
  void set() throws IOException {
    fixture = new LoopbackCluster();
    ((ObjectNode) fixture.config.get("limits")).put("sockets", 40 + 2 * EACH);
  }

  @AfterEach
  void strike() throws IOException {
    over = true;
    fixture.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Failed before: the attempt never ended, and the connection it never had counted for ever. */
  @Test
  void anAttemptForWhichNoSocketCanBeOpenedWasNeverSent() throws Exception {
    ScriptedPeer server = fixture.peer(SERVES);
    AtomicInteger left = new AtomicInteger(-2 * EACH);
    BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    BackendConnections backends =
        loop.submit(
                () ->
                    new BackendConnections(
                        loop,
                        AgentConfig.of(fixture.config),
                        EACH,
                        new RequestStatistics(),
                        () -> {
                          if (left.getAndIncrement() < 0) {
                            throw new ChannelException("too many open files");
                          }
                          return new InspectableSocketChannel();
                        }))
            .sync()
            .getNow();
    for (int i = 0; i <= 2 * EACH; i++) {
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
          i < 2 * EACH ? Outcome.NEVER_SENT : Outcome.OK,
          outcomes.poll(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
    }
    assertTrue(loop.submit(backends::connections).sync().getNow() <= 1);
  }

  /** Failed before: the call was forgotten, and discovery not asked again. */
  @Test
  void aCallForWhichNoSocketCanBeOpenedIsMadeAgain() throws Exception {
    fixture.server(SERVES);
    AtomicInteger left = new AtomicInteger(-2);
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
              if (left.getAndIncrement() < 0) {
                throw new ChannelException("too many open files");
              }
              return new NioSocketChannel();
            });
    loop.submit(discovery::watch).sync();
    assertTrue(listed.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
    assertEquals(
        List.of("no socket", "no socket"),
        loop.submit(() -> List.copyOf(failures)).sync().getNow());
  }

  /**
   * Idle clients take all the room there is, and more wait for it, from the start on and while
   * discovery is down. The agent gets ready, who asks is served, and what discovery tells at its
   * return is had and used.
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
    for (int i = 0; i < 4 * EACH; i++) {
      boolean asks = i % 2 == 0;
      ScriptedPeer.daemon(() -> idle(asks, idle));
    }
    fixture.awaitReady();
    LoopbackCluster.await(
        () -> idle.get() > 4 * EACH); // some have been closed for room, and come again
    assertEquals("old", fixture.call("order").text());
    String list =
        "{\"index\":7,\"snapshot\":true,\"endpoints\":["
            + LoopbackCluster.endpoint(2, replacement.address(), "Ready")
            + "]}";
    ScriptedPeer back =
        new ScriptedPeer(
            port,
            (message, socket) -> {
              // Whatever the agent held: the one before may have been asked in the moment in which
              // it closed.
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
          fixture.agent.connections() <= 2 * EACH + 16,
          "as many as are accepted at once above the limit");
    }
  }

  /**
   * A client that stays and says nothing, some of them after a first call; closed, it comes again
   * at once.
   */
  private void idle(boolean asks, AtomicInteger dialled) {
    while (!over) {
      try (Socket client =
          new Socket(InetAddress.getLoopbackAddress(), fixture.agent.address().getPort())) {
        dialled.incrementAndGet();
        if (asks) {
          ScriptedPeer.write(client, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        client.getInputStream().readAllBytes();
      } catch (IOException e) {
        // closed with what it wrote unread
      }
    }
  }
}
