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
 * What servers may answer: nothing but the whole answer to a request is served, and what is spoilt
 * has run.
 */
class BadServersTest {
  private LoopbackCluster fixture;
  private final AtomicInteger turn = new AtomicInteger();

  @BeforeEach
  void set() throws IOException {
    fixture = new LoopbackCluster();
    fixture.settings("caps", caps -> caps.put("probes", false));
  }

  @AfterEach
  void strike() throws IOException {
    fixture.close();
  }

  /**
   * Two servers; the first request gets this, with its connection left open, the others are served.
   */
  private void firstResponse(String bytes) throws IOException {
    for (int i = 0; i < 2; i++) {
      fixture.server(
          (message, socket) -> {
            if (turn.getAndIncrement() == 0) {
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
  void aSpoiltAnswerIsNotServedAndMayHaveRun(String bytes) throws IOException {
    firstResponse(bytes);
    assertEquals(502, fixture.call("order").status());
    assertEquals(1, turn.get(), "it may have run");
    assertEquals("served", fixture.call("order").text());
  }

  @Test
  void aSafeRequestIsSentAgainAfterASpoiltAnswer() throws IOException {
    firstResponse("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbad");
    assertEquals("served", fixture.call("lookup").text());
    assertEquals(2, turn.get());
  }

  /**
   * Failed before: the space that ends a status line with no reason was unreadable, and the
   * response a reset.
   */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200 all is well "})
  void aStatusLineNeedsNoReason(String line) throws IOException {
    firstResponse(line + "\r\nContent-Length: 4\r\n\r\ngood");
    assertEquals("good", fixture.call("order").text());
    assertEquals(1, turn.get());
  }

  /**
   * Failed before: such answers were all taken for spoilt, though the end of their connection ends
   * them.
   */
  @ParameterizedTest
  @ValueSource(strings = {"ended by close", ""})
  void anAnswerWithNoLengthEndsWithItsConnection(String body) throws IOException {
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
   * Guards against half a response being served: neither a reset nor the agent's own close is its
   * end.
   */
  @Test
  void resetUnboundedResponseIsNotServed() throws IOException {
    responsesStarted("x".repeat(100), ScriptedPeer::reset);
    assertEquals(502, fixture.call("order").status());
    assertEquals("served", fixture.call("lookup").text());
    assertEquals(3, turn.get());
  }

  @Test
  void anAnswerWithNoLengthThatNeverEndsIsGivenUpInTime() throws IOException {
    responsesStarted("x".repeat(100), socket -> {});
    assertEquals(
        502,
        LoopbackCluster.exchange(fixture.dial(), fixture.request("order", 400, "body")).status());
    assertEquals(1, turn.get(), "it may have run");
  }

  @Test
  void anAnswerWithNoLengthIsNotReadForEver() throws IOException {
    responsesStarted("x".repeat(BackendConnections.BODY_MAX + 1), socket -> {});
    assertEquals(502, fixture.call("order").status());
  }

  /**
   * Two servers; the first two requests get a response with no length, of which the body has begun,
   * and this.
   */
  private void responsesStarted(String body, ConnectionEnd connectionEnd) throws IOException {
    for (int i = 0; i < 2; i++) {
      fixture.server(
          (message, socket) -> {
            if (turn.getAndIncrement() < 2) {
              ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\n\r\n" + body);
              connectionEnd.of(socket);
            } else {
              ScriptedPeer.respond(socket, 200, "", "served");
            }
          });
    }
    fixture.start();
  }

  private interface ConnectionEnd {
    void of(Socket socket) throws IOException;
  }

  @Test
  void anAnswerInChunksThatNeverEndIsGivenUp() throws IOException {
    firstResponse(
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
  void whatGoesAheadOfAnAnswerIsPassedOver(String ahead) throws IOException {
    firstResponse(ahead + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
    assertEquals("good", fixture.call("order").text());
    assertEquals(1, turn.get());
  }

  /** Guards against what comes right behind a response being served as the next answer. */
  @Test
  void whatComesBehindAnAnswerIsNotTheNextOne() throws Exception {
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

  /** Guards against a request that every server is asked because one has found it no good. */
  @Test
  void aRequestThatAServerFindsBadIsNotSentAgain() throws IOException {
    firstResponse("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    assertEquals(404, fixture.call("lookup").status());
    assertEquals(1, turn.get());
  }

  /** Guards against one figure that is none getting into the module's means. */
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
  void aReportThatMakesNoSenseIsPassedOverAndItsAnswerServed(String report) throws Exception {
    fixture.server(
        (message, socket) ->
            ScriptedPeer.respond(socket, 200, "Server-Load: " + report + "\r\n", "good"));
    CompletableFuture<double[]> load = new CompletableFuture<>();
    fixture.start(
        fixture.overheard(
            (event, details) -> {
              if (event.equals("outcome")) {
                load.complete((double[]) details[7]);
              }
            }));
    assertEquals("good", fixture.call("order").text());
    assertEquals(0, load.get(20, TimeUnit.SECONDS).length);
  }

  /**
   * Guards against memory and connections kept for servers that are gone, as new ones come for
   * ever.
   */
  @Test
  void nothingIsKeptForServersThatAreGone() throws Exception {
    ScriptedPeer first =
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
    fixture.start();
    assertEquals(200, fixture.call("order").status());
    for (int i = 2; i <= 40; i++) { // each at the same address, under a new id
      fixture.update.add(
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
    assertEquals(1, fixture.agent.trackedServers(), "of the last one alone");
    LoopbackCluster.await(() -> first.ended.size() >= 1);
  }

  /**
   * Guards against connections that break now and then passing for restarts, each of which costs
   * room.
   */
  @Test
  void connectionsThatBreakNowAndThenCostNoRoom() throws Exception {
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
        break; // else this machine was held up for so long that it may have been a restart: once
        // more
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
