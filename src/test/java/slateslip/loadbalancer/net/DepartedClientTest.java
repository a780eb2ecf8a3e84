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
 * Tests clients that leave while their request is pending: no server processes the request,
 * whatever the request is waiting for.
 */
class DepartedClientTest {
  private final CountDownLatch requestReceived = new CountDownLatch(1);
  private final CountDownLatch departureReceived = new CountDownLatch(1);

  /** The number of requests that the load balancer has received. */
  private final AtomicInteger receivedRequests = new AtomicInteger();

  private final CompletableFuture<Object> outcome = new CompletableFuture<>();
  private LoopbackCluster fixture;

  @BeforeEach
  void setUp() throws IOException {
    fixture = new LoopbackCluster();
    fixture.settings("caps", caps -> caps.put("probes", false));
  }

  @AfterEach
  void tearDown() throws IOException {
    fixture.close();
  }

  private void start() throws IOException {
    fixture.start(
        fixture.intercepted(
            (event, arguments) -> {
              switch (event) {
                case "request" -> {
                  receivedRequests.incrementAndGet();
                  requestReceived.countDown();
                }
                case "clientLeft" -> departureReceived.countDown();
                case "outcome" -> outcome.complete(arguments[4]);
                default -> {}
              }
            }));
  }

  /** Waits until the event loop has completed its current tasks, by means of a health check. */
  private void awaitEventLoop() throws IOException {
    try (Socket socket = fixture.dial()) {
      assertEquals(
          200,
          LoopbackCluster.exchange(socket, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status());
    }
  }

  private void disconnect(Socket client) throws Exception {
    client.close();
    departureReceived.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertEquals(0, departureReceived.getCount());
    awaitEventLoop();
  }

  /**
   * Removes the first server and lists one with capacity. A request that is still queued would be
   * sent to the new server, as the next request is.
   */
  private void assertOnlyNextRequestIsSent(String firstAddress) throws Exception {
    ScriptedPeer fresh =
        fixture.peer(
            (message, socket) ->
                ScriptedPeer.respond(socket, 200, "", message.header("Request-Id")));
    fixture.watchResponses.add(
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
    requestReceived.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    disconnect(client);
    assertOnlyNextRequestIsSent("127.0.0.1:9");
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
        LoadBalancer.Outcome.FULL, outcome.get(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    awaitEventLoop();
    disconnect(client);
    assertOnlyNextRequestIsSent(full.address());
    assertEquals(1, full.requests.size());
  }

  @Test
  void departedClientCancelsPendingConnect() throws Exception {
    fixture.settings(
        "caps", caps -> caps.put("dial-timeout-us", 1000 * LoopbackCluster.TIMEOUT_MS));
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + full.getLocalPort();
      ((ObjectNode) fixture.config.get("known"))
          .putArray("endpoints")
          .add(LoopbackCluster.endpoint(1, address, "Ready"));
      List<Socket> filling = LoopbackCluster.fillBacklog(full);
      start();
      Socket client = fixture.dial();
      ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
      requestReceived.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS);
      awaitEventLoop();
      disconnect(client);
      assertEquals(
          LoadBalancer.Outcome.CANCELLED,
          outcome.get(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
      AtomicInteger written = LoopbackCluster.acceptAndCount(full);
      assertOnlyNextRequestIsSent(address);
      assertEquals(0, written.get());
      for (Socket socket : filling) {
        socket.close();
      }
    }
  }

  /**
   * A client that still waits for its response does not end its side of the connection, so any end
   * means that the client has left.
   */
  @ParameterizedTest
  @ValueSource(strings = {"close", "reset", "half-close"})
  void anyConnectionEndCountsAsDeparture(String how) throws Exception {
    start();
    Socket client = fixture.dial();
    ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    requestReceived.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    switch (how) {
      case "close" -> client.close();
      case "reset" -> ScriptedPeer.reset(client);
      default -> client.shutdownOutput();
    }
    assertTrue(departureReceived.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    assertOnlyNextRequestIsSent("127.0.0.1:9");
  }

  /**
   * Blocks the event loop in the event of the first request until the returned latch is counted
   * down.
   */
  private CountDownLatch blockEventLoop() throws IOException {
    CountDownLatch release = new CountDownLatch(1);
    fixture.start(
        fixture.intercepted(
            (event, arguments) -> {
              if (event.equals("request")) {
                requestReceived.countDown();
                awaitRelease(release);
              }
            }));
    return release;
  }

  private static void awaitRelease(CountDownLatch until) {
    try {
      until.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private List<String> arrivedRequests() {
    return fixture.servers.get(0).requests.stream().map(each -> each.header("Request-Id")).toList();
  }

  /**
   * Guards against a request that is sent although its client has left: the request and the close
   * behind it were read at once but handled one after the other. The request may have waited for
   * the event loop, or for its connection to be accepted.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestOfDepartedClientIsNotSent(boolean newConnection) throws Exception {
    fixture.server(
        (message, socket) -> ScriptedPeer.respond(socket, 200, "", message.header("Request-Id")));
    CountDownLatch release = blockEventLoop();
    Socket client = newConnection ? null : fixture.dial();
    if (client != null) {
      assertEquals(
          200,
          LoopbackCluster.exchange(client, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status());
    }
    Socket first = fixture.dial();
    ScriptedPeer.write(first, fixture.request("lookup", 8000, ""));
    assertTrue(requestReceived.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    client = client == null ? fixture.dial() : client;
    ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    client.close();
    release.countDown();
    assertEquals("id1", ScriptedPeer.read(first.getInputStream()).text());
    awaitEventLoop();
    awaitEventLoop();
    assertEquals(
        "id3",
        LoopbackCluster.exchange(fixture.dial(), fixture.request("lookup", 8000, "")).text());
    assertEquals(List.of("id1", "id3"), arrivedRequests());
  }

  /**
   * Guards against a close that is not detected because the agent stops reading after four
   * pipelined requests.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 5, 20, 60})
  void pipelinedRequestsOfDepartedClientAreNotSent(int pipelined) throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    ScriptedPeer server =
        fixture.server(
            (message, socket) -> {
              if (message.header("Request-Id").equals("id1")) {
                awaitRelease(release);
              }
              ScriptedPeer.respond(socket, 200, "", message.header("Request-Id"));
            });
    start();
    Socket client = fixture.dial();
    StringBuilder all = new StringBuilder(fixture.request("lookup", 8000, ""));
    for (int i = 0; i < pipelined; i++) {
      all.append(fixture.request("lookup", 8000, ""));
    }
    ScriptedPeer.write(client, all.toString());
    LoopbackCluster.await(() -> server.requests.size() == 1);
    client.close();
    assertTrue(
        departureReceived.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS),
        "the close behind the requests is detected");
    release.countDown();
    String next = "id" + (pipelined + 2);
    assertEquals(
        next, LoopbackCluster.exchange(fixture.dial(), fixture.request("lookup", 8000, "")).text());
    assertEquals(List.of("id1", next), arrivedRequests());
  }

  /**
   * Guards against a close that is not detected because the agent stops reading after a malformed
   * request.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "noise \u0001\r\n\r\n",
        "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\n"
            + "Request-Id: x\r\nRequest-Timeout-Ms: 500\r\nContent-Length: 60000000\r\n\r\nand a part of it"
      })
  void closeBehindMalformedRequestIsDetected(String malformed) throws Exception {
    ScriptedPeer full =
        fixture.server(
            (message, socket) -> ScriptedPeer.respond(socket, 503, "Not-Started: 1\r\n", ""));
    start();
    Socket client = fixture.dial();
    ScriptedPeer.write(client, fixture.request("lookup", 8000, "") + malformed);
    assertEquals(
        LoadBalancer.Outcome.FULL, outcome.get(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    awaitEventLoop();
    client.close();
    assertTrue(
        departureReceived.await(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS),
        "the close is detected");
    assertOnlyNextRequestIsSent(full.address());
    assertEquals(1, full.requests.size());
  }

  /**
   * A client sends many requests and reads no responses, until the agent can write no further
   * response, and then leaves.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 60})
  void departedClientThatReadNothingCausesNoRequests(int pipelined) throws Exception {
    String large = "x".repeat(60_000);
    ScriptedPeer server =
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", large));
    start();
    Socket client = new Socket();
    client.setReceiveBufferSize(2048);
    client.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), fixture.agent.address().getPort()));
    for (int i = 0; i <= pipelined; i++) {
      ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
    }
    LoopbackCluster.await(() -> server.requests.size() >= 2);
    ScriptedPeer.reset(client);
    awaitEventLoop();
    int before = receivedRequests.get();
    assertEquals(large, fixture.call("lookup").text());
    assertEquals(large, fixture.call("lookup").text());
    assertEquals(
        before + 2,
        receivedRequests.get(),
        "the load balancer receives none of the remaining requests");
    assertTrue(
        pipelined < 60 || before < pipelined,
        before + " requests were received before the client left, so none remained");
  }
}
