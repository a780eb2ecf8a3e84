package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests invalid input from clients: the client receives an error or a close, no server receives the
 * request, and other clients are not affected.
 */
class BadClientsTest {
  private static final String GET = "GET /lookup HTTP/1.1\r\nHost: a\r\nRequest-Class: lookup\r\n";
  private static final ScriptedPeer.Script SERVES =
      (message, socket) -> ScriptedPeer.respond(socket, 200, "", "served");

  private LoopbackCluster fixture;

  @BeforeEach
  void setUp() throws IOException {
    fixture = new LoopbackCluster();
  }

  @AfterEach
  void tearDown() throws IOException {
    fixture.close();
  }

  private void assertRejected(int status, String bytes) throws IOException {
    Socket client = fixture.dial();
    ScriptedPeer.Message response = LoopbackCluster.exchange(client, bytes);
    assertEquals(status, response.status());
    assertEquals("close", response.header("Connection"));
    assertEquals(-1, client.getInputStream().read());
    assertEquals(200, fixture.call("lookup").status(), "the agent still serves requests");
    assertEquals(1, fixture.arrivedRequests(), "the server receives only the valid request");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /nothing HTTP/1.1\r\nHost: a\r\nRequest-Class: nothing\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 5\r\n",
        "GET /lookup HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n",
        "GET /order HTTP/1.1\r\nHost: a\r\nRequest-Class: lookup\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n",
        "GET /lookup\u00e9 HTTP/1.1\r\nHost: a\r\nRequest-Class: lookup\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 5\r\n",
        "POST /lookup HTTP/1.1\r\nHost: a\r\nRequest-Class: lookup\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n"
            + "Content-Length: 0\r\n",
        "GET /lookup HTTP/1.1\r\nRequest-Class: lookup\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n",
        GET + "Request-Timeout-Ms: 500\r\n",
        GET + "Request-Id: \r\nRequest-Timeout-Ms: 500\r\n",
        GET + "Request-Id: a b\r\nRequest-Timeout-Ms: 500\r\n",
        GET + "Request-Id: 1\r\nRequest-Id: 2\r\nRequest-Timeout-Ms: 500\r\n",
        GET + "Request-Id: 1\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: soon\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: -5\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: +5\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 0\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 99999999999999999999\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nWork-Hint: much\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nIdempotency-Key: k\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nNote: \u00e9\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nContent-Length: 4\r\n",
        GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nno colon\r\n",
        "POST /pay HTTP/1.1\r\nHost: a\r\nRequest-Class: pay\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n"
            + "Content-Length: 0\r\n",
        "\u0016\u0003\u0001\r\n",
        "{\"not\": \"http\"}\r\n"
      })
  void malformedRequestGets400(String head) throws IOException {
    fixture.server(SERVES);
    fixture.start();
    assertRejected(400, head + "\r\n");
  }

  /**
   * Guards against request smuggling: a request that is hidden in bytes that another reader takes
   * for the body of the request before.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: identity",
        "Content-Length: 4\r\nContent-Length: 40",
        "Content-Length: 4, 4",
        "Content-Length: -4",
        "Content-Length: +4",
        "Content-Length: 0x4",
        "Content-Length: ten",
        "Content-Length: 4\nX: y"
      })
  void ambiguousBodyLengthGets400(String framing) throws IOException {
    fixture.server(SERVES);
    fixture.start();
    assertRejected(
        400,
        "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\nRequest-Id: 1\r\n"
            + "Request-Timeout-Ms: 8000\r\n"
            + framing
            + "\r\n\r\n0\r\n\r\n"
            + fixture.request("order", 8000, "b"));
  }

  @Test
  void oversizedBodyIsNotReadToEnd() throws Exception {
    fixture.server(SERVES);
    fixture.start();
    assertRejected(413, fixture.request("order", 500, "x".repeat(65_537)));
    Socket client = fixture.dial(); // This client sends chunks without end.
    ScriptedPeer.write(
        client,
        "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\nRequest-Id: 1\r\n"
            + "Request-Timeout-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n");
    ScriptedPeer.daemon(
        () -> {
          while (true) {
            ScriptedPeer.write(client, "8000\r\n" + "y".repeat(0x8000) + "\r\n");
          }
        });
    assertEquals(413, ScriptedPeer.read(client.getInputStream()).status());
    LoopbackCluster.await(
        () -> {
          try {
            client.getOutputStream().write('y');
            return false;
          } catch (IOException e) {
            return true;
          }
        });
  }

  /**
   * Guards against an error response that the client takes for the response to an earlier request
   * on the connection.
   */
  @Test
  void errorResponseWaitsForEarlierResponses() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    fixture.server(
        (message, socket) -> {
          release.await();
          ScriptedPeer.respond(socket, 200, "", "served");
        });
    fixture.start();
    Socket client = fixture.dial();
    ScriptedPeer.write(
        client,
        fixture.request("order", 8000, "b")
            + fixture
                .request("order", 8000, "x")
                .replace("Content-Length: 1", "Content-Length: 60000000"));
    LoopbackCluster.await(() -> fixture.arrivedRequests() == 1);
    Thread.sleep(100);
    release.countDown();
    assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
    assertEquals(413, ScriptedPeer.read(client.getInputStream()).status());
    assertEquals(-1, client.getInputStream().read());
  }

  /**
   * Guards against a request that takes effect twice, and against a client that receives another
   * client's response.
   */
  @Test
  void duplicateOpenIdIsRejected() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    fixture.server(
        (message, socket) -> {
          release.await();
          ScriptedPeer.respond(socket, 200, "", "served");
        });
    fixture.start();
    Socket first = fixture.dial();
    String request = fixture.request("pay", 8000, "body");
    ScriptedPeer.write(first, request);
    LoopbackCluster.await(() -> fixture.arrivedRequests() == 1);
    assertEquals(409, LoopbackCluster.exchange(fixture.dial(), request).status());
    release.countDown();
    assertEquals(200, ScriptedPeer.read(first.getInputStream()).status());
    assertEquals(1, fixture.arrivedRequests());
    assertEquals(
        200, LoopbackCluster.exchange(first, fixture.request("pay", 8000, "body")).status());
  }

  /**
   * Guards against file descriptors that are held by clients that send nothing or an incomplete
   * request.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "GET /loo",
        "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\n"
            + "Request-Id: 1\r\nRequest-Timeout-Ms: 8000\r\nContent-Length: 100\r\n\r\nhalf"
      })
  void incompleteRequestTimesOut(String half) throws IOException {
    fixture.start();
    Socket client = fixture.dial();
    ScriptedPeer.write(client, half);
    if (half.isEmpty()) {
      assertEquals(-1, client.getInputStream().read());
    } else {
      assertEquals(408, ScriptedPeer.read(client.getInputStream()).status());
    }
  }

  /** Guards against hundreds of unresponsive connections that exclude clients with requests. */
  @Test
  void idleConnectionsAreClosedForNewOnes() throws Exception {
    ((ObjectNode) fixture.config.get("limits")).put("sockets", 40 + 2 * 12);
    fixture.server(SERVES);
    fixture.start();
    List<Socket> unresponsive = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      unresponsive.add(fixture.dial());
    }
    long started = System.nanoTime();
    assertEquals(200, fixture.call("lookup").status());
    assertTrue(
        System.nanoTime() - started < TimeUnit.SECONDS.toNanos(8),
        "60 connections, 12 at a time, each for at most 2 s");
    for (Socket each : unresponsive) {
      assertEquals(-1, each.getInputStream().read());
    }
  }

  /**
   * Guards against a shutdown that is delayed by clients that send nothing or an incomplete
   * request.
   */
  @Test
  void shutdownDoesNotWaitForIncompleteRequests() throws Exception {
    fixture.start();
    Socket half = fixture.dial();
    ScriptedPeer.write(half, "POST /order HTTP/1.1\r\nHost: a\r\n");
    Socket unresponsive = fixture.dial();
    Thread.sleep(100);
    CompletableFuture<Void> ended = CompletableFuture.runAsync(fixture.agent::stop);
    ended.get(LoopbackCluster.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertEquals(-1, unresponsive.getInputStream().read());
    // The client may receive an error response before the close.
    half.getInputStream().readAllBytes();
  }

  @Test
  void expectContinueGets100() throws IOException {
    fixture.server(SERVES);
    fixture.start();
    Socket client = fixture.dial();
    String[] parts = fixture.request("order", 8000, "body").split("\r\n\r\n", -1);
    assertEquals(
        100,
        LoopbackCluster.exchange(client, parts[0] + "\r\nExpect: 100-continue\r\n\r\n").status());
    assertEquals(200, LoopbackCluster.exchange(client, parts[1]).status());
  }
}
