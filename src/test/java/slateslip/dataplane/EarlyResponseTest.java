package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.BROKEN;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.ERROR_RESPONSE;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.NOT_EXECUTED;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.SUCCESS;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.TIMEOUT;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.DataPlaneFixture.ClientResponse;
import slateslip.loadbalancer.net.ScriptedPeer;
import slateslip.routing.RouterInput.AttemptOutcome;

/** Backends that answer a request that may not be repeated before they have read its body. */
class EarlyResponseTest {
  private static final int RECEIVE_BUFFER = 4_096;

  /** More than the sockets between the two hold. */
  private static final int BODY_BYTES = 4_000_000;

  private static final long FIRST_EVENT_TIMEOUT_MICROS = 1_000_000;

  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private DataPlaneFixture fixture;
  private ServerSocket server;

  /** What a backend does once it has read the head of a request. */
  private interface HeadScript {
    void handle(String attemptId, Socket socket) throws IOException;
  }

  @BeforeEach
  void open() throws IOException {
    fixture = new DataPlaneFixture();
    fixture.router.repeatable = false;
    server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void close() throws IOException {
    for (Socket socket : accepted) {
      socket.close();
    }
    server.close();
    fixture.close();
  }

  private void backendThatReadsHeads(HeadScript script) {
    ScriptedPeer.daemon(
        () -> {
          while (true) {
            Socket socket = server.accept();
            accepted.add(socket);
            script.handle(attemptId(socket), socket);
          }
        });
    fixture.listed(server.getInetAddress().getHostAddress() + ":" + server.getLocalPort());
  }

  private static String attemptId(Socket socket) throws IOException {
    return ClientResponse.readHead(socket.getInputStream()).stream()
        .filter(line -> line.regionMatches(true, 0, "X-Attempt-Id:", 0, 13))
        .map(line -> line.substring(13).trim())
        .findFirst()
        .orElseThrow();
  }

  private ScriptedPeer good() throws IOException {
    return fixture.backend(
        (message, socket) -> DataPlaneFixture.serve(message, socket, "", "good"));
  }

  private ClientResponse callWithLongBody(String id) throws IOException {
    Socket client = fixture.dial();
    ScriptedPeer.daemon(
        () -> ScriptedPeer.write(client, DataPlaneFixture.request(id, "", "x".repeat(BODY_BYTES))));
    return ClientResponse.read(client.getInputStream());
  }

  private void awaitEnds(AttemptOutcome.Kind... expected) {
    DataPlaneFixture.await(() -> fixture.router.ends().size() >= expected.length);
    assertThat(fixture.router.ends(), is(List.of(expected)));
  }

  @Test
  void anEarlyRejectionSaysThatItHasNotRun() throws IOException {
    backendThatReadsHeads(
        (id, socket) ->
            ScriptedPeer.respond(
                socket, 503, "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\n", ""));
    good();
    assertThat(callWithLongBody("a1").body(), is("good"));
    awaitEnds(NOT_EXECUTED, SUCCESS);
  }

  @Test
  void anEarlyFailureIsPassedOnAndNotRepeated() throws IOException {
    backendThatReadsHeads(
        (id, socket) ->
            ScriptedPeer.respond(
                socket, 500, "X-Attempt-Id: " + id + "\r\nX-Response-Stamp: s\r\n", "failed"));
    ScriptedPeer other = good();
    assertThat(callWithLongBody("a1").status(), is(500));
    awaitEnds(ERROR_RESPONSE);
    assertThat(other.requests.size(), is(0));
  }

  @Test
  void anEarlyAnswerThatBreaksOffIsNotRepeated() throws IOException {
    backendThatReadsHeads(
        (id, socket) -> {
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                  + id
                  + "\r\nX-Response-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf");
          socket.shutdownOutput();
        });
    ScriptedPeer other = good();
    assertThat(callWithLongBody("a1").status(), is(502));
    awaitEnds(BROKEN);
    assertThat(other.requests.size(), is(0));
    fixture.onLoop(() -> assertThat(fixture.metrics.partlySent, is(1L)));
  }

  /**
   * TWICE: a request that may not be repeated went to a second backend when the first crashed with
   * a part of its body.
   */
  @Test
  void aRequestThatHasPartlyLeftWhenItsBackendCrashesIsNotRepeated() throws IOException {
    backendThatReadsHeads((id, socket) -> ScriptedPeer.reset(socket));
    ScriptedPeer other = good();
    assertThat(callWithLongBody("a1").status(), is(502));
    awaitEnds(BROKEN);
    assertThat(other.requests.size(), is(0));
    fixture.onLoop(() -> assertThat(fixture.metrics.partlySent, is(1L)));
  }

  /** TWICE, and REFUSED: the same where the backend is silent until the attempt times out. */
  @Test
  void aRequestThatHasPartlyLeftWhenItTimesOutIsNotRepeated() throws IOException {
    fixture.router.firstEventTimeoutMicros = FIRST_EVENT_TIMEOUT_MICROS;
    backendThatReadsHeads((id, socket) -> {});
    ScriptedPeer other = good();
    assertThat(callWithLongBody("a1").status(), is(502));
    awaitEnds(TIMEOUT);
    assertThat(other.requests.size(), is(0));
  }

  @Test
  void aConnectionWhoseBodyIsNotOutIsNotUsedAgain() throws IOException {
    backendThatReadsHeads(
        (id, socket) ->
            ScriptedPeer.respond(
                socket,
                200,
                "X-Attempt-Id: " + id + "\r\nX-Response-Stamp: s\r\nKeep-Alive: timeout=60\r\n",
                "early"));
    assertThat(callWithLongBody("a1").body(), is("early"));
    assertThat(fixture.call("a2").body(), is("early"));
    assertThat(accepted.size(), is(2));
  }
}
