package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.loadbalancer.LoadBalancer;

/**
 * A client that leaves while its request waits: nobody is to work for it, whatever it waits for.
 */
class GracefulShutdownTest {
  private final CountDownLatch came = new CountDownLatch(1);
  private final CountDownLatch left = new CountDownLatch(1);

  /** Requests that the module has been told of. */
  private final AtomicInteger taken = new AtomicInteger();

  private final CompletableFuture<Object> outcome = new CompletableFuture<>();
  private LoopbackCluster fixture;

  @BeforeEach
  void set() throws IOException {
    fixture = new LoopbackCluster();
    fixture.settings("caps", caps -> caps.put("probes", false));
  }

  @AfterEach
  void strike() throws IOException {
    fixture.close();
  }

  private void start() throws IOException {
    fixture.start(
        fixture.overheard(
            (event, details) -> {
              switch (event) {
                case "request" -> {
                  taken.incrementAndGet();
                  came.countDown();
                }
                case "clientLeft" -> left.countDown();
                case "outcome" -> outcome.complete(details[4]);
                default -> {}
              }
            }));
  }

  /** What the loop was at is done: it has answered this. */
  private void passTheLoop() throws IOException {
    try (Socket socket = fixture.dial()) {
      assertEquals(
          200,
          LoopbackCluster.exchange(socket, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status());
    }
  }

  private void leave(Socket client) throws Exception {
    client.close();
    left.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS);
    assertEquals(0, left.getCount());
    passTheLoop();
  }

  /**
   * The first server goes and one is listed that has capacity: what waits would go to it, as the
   * next request does.
   */
  private void assertOnlyTheNextIsSent(String firstAddress) throws Exception {
    ScriptedPeer fresh =
        fixture.peer(
            (message, socket) ->
                ScriptedPeer.respond(socket, 200, "", message.header("Request-Id")));
    fixture.update.add(
        LoopbackCluster.delta(
            1,
            LoopbackCluster.endpoint(9, fresh.address(), "Ready"),
            LoopbackCluster.endpoint(1, firstAddress, "Gone")));
    LoopbackCluster.await(
        () ->
            fixture.discovery.requests.stream()
                .anyMatch(each -> each.target().contains("since=1&")));
    String next = fixture.request("lookup", 8000, "");
    assertEquals("id2", LoopbackCluster.exchange(fixture.dial(), next).text());
    assertEquals(
        List.of("id2"), fresh.requests.stream().map(each -> each.header("Request-Id")).toList());
  }

  @Test
  void departedClientCancelsQueuedRequest() throws Exception {
    start();
    Socket client = fixture.dial();
    ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    came.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS);
    leave(client);
    assertOnlyTheNextIsSent("127.0.0.1:9");
  }

  @Test
  void departedClientCancelsPendingRetry() throws Exception {
    ScriptedPeer full =
        fixture.server(
            (message, socket) -> ScriptedPeer.respond(socket, 503, "Not-Started: 1\r\n", ""));
    start();
    Socket client = fixture.dial();
    ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    assertEquals(
        LoadBalancer.Outcome.FULL, outcome.get(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
    passTheLoop();
    leave(client);
    assertOnlyTheNextIsSent(full.address());
    assertEquals(1, full.requests.size());
  }

  @Test
  void departedClientCancelsPendingConnect() throws Exception {
    fixture.settings(
        "caps", caps -> caps.put("dial-timeout-us", 1000 * LoopbackCluster.GENEROUS_MS));
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + full.getLocalPort();
      ((ObjectNode) fixture.config.get("known"))
          .putArray("endpoints")
          .add(LoopbackCluster.endpoint(1, address, "Ready"));
      List<Socket> filling = LoopbackCluster.fill(full);
      start();
      Socket client = fixture.dial();
      ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
      came.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS);
      passTheLoop();
      leave(client);
      assertEquals(
          LoadBalancer.Outcome.CANCELLED,
          outcome.get(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
      AtomicInteger written = LoopbackCluster.accept(full);
      assertOnlyTheNextIsSent(address);
      assertEquals(0, written.get());
      for (Socket socket : filling) {
        socket.close();
      }
    }
  }

  /** However it ends its side: a client that still waits keeps its connection whole. */
  @ParameterizedTest
  @ValueSource(strings = {"close", "reset", "end of its sending"})
  void aClientHasGoneHoweverItEndsItsConnection(String how) throws Exception {
    start();
    Socket client = fixture.dial();
    ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    came.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS);
    switch (how) {
      case "close" -> client.close();
      case "reset" -> ScriptedPeer.reset(client);
      default -> client.shutdownOutput();
    }
    assertTrue(left.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
    assertOnlyTheNextIsSent("127.0.0.1:9");
  }

  /** Holds the loop in the event of the first request until this is counted down. */
  private CountDownLatch holdTheLoop() throws IOException {
    CountDownLatch go = new CountDownLatch(1);
    fixture.start(
        fixture.overheard(
            (event, details) -> {
              if (event.equals("request")) {
                came.countDown();
                hold(go);
              }
            }));
    return go;
  }

  private static void hold(CountDownLatch until) {
    try {
      until.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private List<String> arrived() {
    return fixture.servers.get(0).requests.stream().map(each -> each.header("Request-Id")).toList();
  }

  /**
   * Failed before: a request and the close behind it, read in one go, were taken in turn, and the
   * request was sent on; it may have waited long for the loop, or for its connection to be
   * accepted.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aRequestIsNotSentWhoseClientLeftBeforeItWasRead(boolean onANewConnection) throws Exception {
    fixture.server(
        (message, socket) -> ScriptedPeer.respond(socket, 200, "", message.header("Request-Id")));
    CountDownLatch go = holdTheLoop();
    Socket client = onANewConnection ? null : fixture.dial();
    if (client != null) {
      assertEquals(
          200,
          LoopbackCluster.exchange(client, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status());
    }
    Socket first = fixture.dial();
    ScriptedPeer.write(first, fixture.request("lookup", 8000, ""));
    assertTrue(came.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
    client = client == null ? fixture.dial() : client;
    ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    client.close();
    go.countDown();
    assertEquals("id1", ScriptedPeer.read(first.getInputStream()).text());
    passTheLoop();
    passTheLoop();
    assertEquals(
        "id3",
        LoopbackCluster.exchange(fixture.dial(), fixture.request("lookup", 8000, "")).text());
    assertEquals(List.of("id1", "id3"), arrived());
  }

  /** Failed before: with four requests read ahead nothing more was read, and a close not seen. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 5, 20, 60})
  void ofManyRequestsAskedAtOnceNoneIsSentOnceTheirClientLeft(int ahead) throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    ScriptedPeer server =
        fixture.server(
            (message, socket) -> {
              if (message.header("Request-Id").equals("id1")) {
                hold(go);
              }
              ScriptedPeer.respond(socket, 200, "", message.header("Request-Id"));
            });
    start();
    Socket client = fixture.dial();
    StringBuilder all = new StringBuilder(fixture.request("lookup", 8000, ""));
    for (int i = 0; i < ahead; i++) {
      all.append(fixture.request("lookup", 8000, ""));
    }
    ScriptedPeer.write(client, all.toString());
    LoopbackCluster.await(() -> server.requests.size() == 1);
    client.close();
    assertTrue(
        left.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS),
        "the close is seen behind what was asked");
    go.countDown();
    String next = "id" + (ahead + 2);
    assertEquals(
        next, LoopbackCluster.exchange(fixture.dial(), fixture.request("lookup", 8000, "")).text());
    assertEquals(List.of("id1", next), arrived());
  }

  /** Failed before: behind what was no request nothing more was read, and the close not seen. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "noise \u0001\r\n\r\n",
        "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\n"
            + "Request-Id: x\r\nRequest-Timeout-Ms: 500\r\nContent-Length: 60000000\r\n\r\nand a part of it"
      })
  void aCloseBehindWhatIsNoRequestIsSeen(String noise) throws Exception {
    ScriptedPeer full =
        fixture.server(
            (message, socket) -> ScriptedPeer.respond(socket, 503, "Not-Started: 1\r\n", ""));
    start();
    Socket client = fixture.dial();
    ScriptedPeer.write(client, fixture.request("lookup", 8000, "") + noise);
    assertEquals(
        LoadBalancer.Outcome.FULL, outcome.get(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS));
    passTheLoop();
    client.close();
    assertTrue(left.await(LoopbackCluster.GENEROUS_MS, TimeUnit.MILLISECONDS), "the close is seen");
    assertOnlyTheNextIsSent(full.address());
    assertEquals(1, full.requests.size());
  }

  /** A client that asks much and reads nothing, until no response can be written, and then goes. */
  @ParameterizedTest
  @ValueSource(ints = {3, 60})
  void noneIsSentForAClientThatReadsNoAnswersOnceItLeft(int ahead) throws Exception {
    String large = "x".repeat(60_000);
    ScriptedPeer server =
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", large));
    start();
    Socket client = new Socket();
    client.setReceiveBufferSize(2048);
    client.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), fixture.agent.address().getPort()));
    for (int i = 0; i <= ahead; i++) {
      ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    }
    LoopbackCluster.await(() -> server.requests.size() >= 2);
    ScriptedPeer.reset(client);
    passTheLoop();
    int before = taken.get();
    assertEquals(large, fixture.call("lookup").text());
    assertEquals(large, fixture.call("lookup").text());
    assertEquals(before + 2, taken.get(), "none of those that are left is taken");
    assertTrue(ahead < 60 || before < ahead, before + " were taken before it left: none was left");
  }
}
