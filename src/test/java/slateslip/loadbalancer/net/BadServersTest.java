package slateslip.loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests invalid responses from servers: only a complete response is served, and a request with a
 * malformed response counts as possibly processed.
 */
class BadServersTest {
  private LoopbackCluster fixture;
  private final AtomicInteger requestCount = new AtomicInteger();

  @BeforeEach
  void setUp() throws IOException {
    fixture = new LoopbackCluster();
    fixture.settings("caps", caps -> caps.put("probes", false));
  }

  @AfterEach
  void tearDown() throws IOException {
    fixture.close();
  }

  /**
   * Starts two servers. The first request receives the given bytes and its connection stays open;
   * all others are served.
   */
  private void startWithFirstResponse(String bytes) throws IOException {
    for (int i = 0; i < 2; i++) {
      fixture.server(
          (message, socket) -> {
            if (requestCount.getAndIncrement() == 0) {
              ScriptedPeer.write(socket, bytes);
            } else {
              ScriptedPeer.respond(socket, 200, "", "served");
            }
          });
    }
    fixture.start();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "noise\r\n\r\n",
        "\u0000\u0001HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 999999 X\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 +200 OK\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/3.0 200 OK\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 200 \r\nno colon\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nbad\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbad",
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
      })
  void malformedResponseIsNotServedAndMayHaveRun(String bytes) throws IOException {
    startWithFirstResponse(bytes);
    assertEquals(502, fixture.call("order").status());
    assertEquals(1, requestCount.get(), "it may have run");
    assertEquals("served", fixture.call("order").text());
  }

  @Test
  void safeRequestIsRetriedAfterMalformedResponse() throws IOException {
    startWithFirstResponse("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbad");
    assertEquals("served", fixture.call("lookup").text());
    assertEquals(2, requestCount.get());
  }

  /**
   * Guards against a valid response that is counted as a reset: a status line that ends with a
   * space because it has no reason phrase was unreadable.
   */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200 all is well "})
  void statusLineWithoutReasonIsAccepted(String line) throws IOException {
    startWithFirstResponse(line + "\r\nContent-Length: 4\r\n\r\ngood");
    assertEquals("good", fixture.call("order").text());
    assertEquals(1, requestCount.get());
  }

  /**
   * Guards against valid responses that are counted as malformed, although the end of the
   * connection ends their body.
   */
  @ParameterizedTest
  @ValueSource(strings = {"ended by close", ""})
  void responseWithoutLengthEndsWithConnection(String body) throws IOException {
    ScriptedPeer server =
        fixture.server(
            (message, socket) -> {
              ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\n\r\n" + body);
              socket.close();
            });
    fixture.start();
    for (int i = 0; i < 3; i++) {
      assertEquals(body, fixture.call("order").text());
    }
    assertEquals(3, server.requests.size());
  }

  /**
   * Guards against a truncated response that is served: neither a reset nor the agent's own close
   * ends the body.
   */
  @Test
  void resetUnboundedResponseIsNotServed() throws IOException {
    startWithFirstResponsesBegun("x".repeat(100), ScriptedPeer::reset);
    assertEquals(502, fixture.call("order").status());
    assertEquals("served", fixture.call("lookup").text());
    assertEquals(3, requestCount.get());
  }

  @Test
  void unboundedResponseTimesOut() throws IOException {
    startWithFirstResponsesBegun("x".repeat(100), socket -> {});
    assertEquals(
        502,
        LoopbackCluster.exchange(fixture.dial(), fixture.request("order", 400, "body")).status());
    assertEquals(1, requestCount.get(), "it may have run");
  }

  @Test
  void oversizedUnboundedResponseFails() throws IOException {
    startWithFirstResponsesBegun("x".repeat(BackendConnections.BODY_MAX + 1), socket -> {});
    assertEquals(502, fixture.call("order").status());
  }

  /**
   * Starts two servers. The first two requests receive the start of a response without a length,
   * after which {@code connectionEnd} acts on the connection; all others are served.
   */
  private void startWithFirstResponsesBegun(String body, ConnectionEnd connectionEnd)
      throws IOException {
    for (int i = 0; i < 2; i++) {
      fixture.server(
          (message, socket) -> {
            if (requestCount.getAndIncrement() < 2) {
              ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\n\r\n" + body);
              connectionEnd.end(socket);
            } else {
              ScriptedPeer.respond(socket, 200, "", "served");
            }
          });
    }
    fixture.start();
  }

  private interface ConnectionEnd {
    void end(Socket socket) throws IOException;
  }

  @Test
  void oversizedChunkedResponseFails() throws IOException {
    startWithFirstResponse(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n"
            + "x".repeat(0x8000)
            + "\r\n8001\r\n"
            + "x".repeat(0x8001));
    assertEquals(502, fixture.call("order").status());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 102 Processing\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
      })
  void informationalResponsesAreSkipped(String ahead) throws IOException {
    startWithFirstResponse(ahead + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
    assertEquals("good", fixture.call("order").text());
    assertEquals(1, requestCount.get());
  }

  /** Guards against bytes behind a response that are served as the next response. */
  @Test
  void bytesBehindResponseAreNotServed() throws Exception {
    fixture.server(
        (message, socket) -> {
          String id = message.header("Request-Id");
          ScriptedPeer.write(
              socket,
              ("HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id).repeat(2));
        });
    fixture.start();
    Socket client = fixture.dial();
    for (int i = 1; i <= 20; i++) {
      assertEquals(
          "id" + i, LoopbackCluster.exchange(client, fixture.request("order", 8000, "b")).text());
    }
  }

  /**
   * Guards against a request that is sent to every server after one server has rejected it as
   * invalid.
   */
  @Test
  void clientErrorIsNotRetried() throws IOException {
    startWithFirstResponse("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    assertEquals(404, fixture.call("lookup").status());
    assertEquals(1, requestCount.get());
  }

  /** Guards against an invalid number that enters the averages of the load balancer. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "inflight=NaN,queue=1",
        "inflight=Infinity,queue=1",
        "inflight=-1,queue=1",
        "inflight=1e999,queue=1",
        "inflight=,queue=1",
        "inflight",
        "=,=",
        "\"",
        "queue=1"
      })
  void invalidLoadReportIsIgnoredAndResponseServed(String report) throws Exception {
    fixture.server(
        (message, socket) ->
            ScriptedPeer.respond(socket, 200, "Server-Load: " + report + "\r\n", "good"));
    CompletableFuture<double[]> load = new CompletableFuture<>();
    fixture.start(
        fixture.intercepted(
            (event, arguments) -> {
              if (event.equals("outcome")) {
                load.complete((double[]) arguments[7]);
              }
            }));
    assertEquals("good", fixture.call("order").text());
    assertEquals(0, load.get(20, TimeUnit.SECONDS).length);
  }

  /**
   * Guards against memory and connections that are kept for servers that have left the list, in a
   * fleet with a constant turnover of servers.
   */
  @Test
  void removedServersLeaveNoState() throws Exception {
    ScriptedPeer first =
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
    fixture.start();
    assertEquals(200, fixture.call("order").status());
    for (int i = 2; i <= 40; i++) { // Each server has the same address and a new name.
      fixture.watchResponses.add(
          LoopbackCluster.delta(
              i,
              LoopbackCluster.endpoint(i - 1, first.address(), "Gone"),
              LoopbackCluster.endpoint(1000 + i, first.address(), "Gone"),
              LoopbackCluster.endpoint(i, first.address(), "Ready")));
    }
    LoopbackCluster.await(
        () ->
            fixture.discovery.requests.stream()
                .anyMatch(each -> each.target().contains("since=40&")));
    assertEquals(200, fixture.call("order").status());
    assertEquals(1, fixture.agent.trackedServers(), "only the last server has state");
    LoopbackCluster.await(() -> first.ended.size() >= 1);
  }

  /**
   * Guards against occasional resets that are taken for a restart of the server, which would reduce
   * the server's capacity.
   */
  @Test
  void occasionalResetsDoNotReduceCapacity() throws Exception {
    AtomicInteger resets = new AtomicInteger();
    fixture.server(
        (message, socket) -> {
          if (resets.getAndDecrement() > 0) {
            ScriptedPeer.reset(socket);
          } else {
            ScriptedPeer.respond(socket, 200, "", "served");
          }
        });
    fixture.start();
    for (int i = 0; i < 20; i++) {
      long started = System.nanoTime();
      resets.set(2);
      assertEquals(502, fixture.call("order").status());
      assertEquals(502, fixture.call("order").status());
      assertEquals(200, fixture.call("order").status());
      if (System.nanoTime() - started < TimeUnit.MILLISECONDS.toNanos(300)) {
        // On a slower run the resets may have looked like a restart, and the test tries again.
        break;
      }
      Thread.sleep(6_000);
    }
    List<CompletableFuture<Integer>> responses = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Socket client = fixture.dial();
      String request = fixture.request("order", 8000, "body");
      CompletableFuture<Integer> response = new CompletableFuture<>();
      responses.add(response);
      ScriptedPeer.daemon(
          () -> response.complete(LoopbackCluster.exchange(client, request).status()));
    }
    for (CompletableFuture<Integer> response : responses) {
      assertEquals(200, response.get(20, TimeUnit.SECONDS));
    }
  }
}
