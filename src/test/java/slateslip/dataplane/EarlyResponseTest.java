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

/**
 * Tests backends that respond to a request that may not be retried before they have read the
 * request body.
 */
class EarlyResponseTest {
  private static final int RECEIVE_BUFFER = 4_096;

  /** More bytes than the buffers of the sockets between data plane and backend hold. */
  private static final int BODY_BYTES = 4_000_000;

  private static final long FIRST_EVENT_TIMEOUT_MICROS = 1_000_000;

  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private DataPlaneFixture fixture;
  private ServerSocket server;

  /** Handles a request whose head a backend has read. */
  private interface HeadScript {
    void handle(String attemptId, Socket socket) throws IOException;
  }

  @BeforeEach
  void open() throws IOException {
    fixture = new DataPlaneFixture();
    fixture.router.retriesBrokenAttempts = false;
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

  private void startBackendThatReadsOnlyHeads(HeadScript script) {
    ScriptedPeer.daemon(
        () -> {
          while (true) {
            Socket socket = server.accept();
            accepted.add(socket);
            script.handle(attemptId(socket), socket);
          }
        });
    fixture.listBackend(server.getInetAddress().getHostAddress() + ":" + server.getLocalPort());
  }

  private static String attemptId(Socket socket) throws IOException {
    return ClientResponse.readHead(socket.getInputStream()).stream()
        .filter(line -> line.regionMatches(true, 0, "X-Attempt-Id:", 0, 13))
        .map(line -> line.substring(13).trim())
        .findFirst()
        .orElseThrow();
  }

  private ScriptedPeer healthyBackend() throws IOException {
    return fixture.backend(
        (message, socket) -> DataPlaneFixture.serve(message, socket, "", "good"));
  }

  private ClientResponse callWithLongBody(String id) throws IOException {
    Socket client = fixture.dial();
    ScriptedPeer.daemon(
        () -> ScriptedPeer.write(client, DataPlaneFixture.request(id, "", "x".repeat(BODY_BYTES))));
    return ClientResponse.read(client.getInputStream());
  }

  private void awaitOutcomes(AttemptOutcome.Kind... expected) {
    DataPlaneFixture.await(() -> fixture.router.outcomes().size() >= expected.length);
    assertThat(fixture.router.outcomes(), is(List.of(expected)));
  }

  @Test
  void requestThatIsRejectedEarlyAsNotExecutedIsRetried() throws IOException {
    startBackendThatReadsOnlyHeads(
        (id, socket) ->
            ScriptedPeer.respond(
                socket, 503, "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\n", ""));
    healthyBackend();
    assertThat(callWithLongBody("a1").body(), is("good"));
    awaitOutcomes(NOT_EXECUTED, SUCCESS);
  }

  @Test
  void earlyErrorResponseIsRelayedAndNotRetried() throws IOException {
    startBackendThatReadsOnlyHeads(
        (id, socket) ->
            ScriptedPeer.respond(
                socket, 500, "X-Attempt-Id: " + id + "\r\nX-Response-Stamp: s\r\n", "failed"));
    ScriptedPeer other = healthyBackend();
    assertThat(callWithLongBody("a1").status(), is(500));
    awaitOutcomes(ERROR_RESPONSE);
    assertThat(other.requests.size(), is(0));
  }

  @Test
  void requestWithAnIncompleteEarlyResponseIsNotRetried() throws IOException {
    startBackendThatReadsOnlyHeads(
        (id, socket) -> {
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                  + id
                  + "\r\nX-Response-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf");
          socket.shutdownOutput();
        });
    ScriptedPeer other = healthyBackend();
    assertThat(callWithLongBody("a1").status(), is(502));
    awaitOutcomes(BROKEN);
    assertThat(other.requests.size(), is(0));
    fixture.onLoop(() -> assertThat(fixture.metrics.partlySent, is(1L)));
  }

  /**
   * Guards against a second execution: a request that may not be retried was sent to a second
   * backend when the first backend crashed after it had received a part of the body.
   */
  @Test
  void partlySentRequestIsNotRetriedAfterABackendCrash() throws IOException {
    startBackendThatReadsOnlyHeads((id, socket) -> ScriptedPeer.reset(socket));
    ScriptedPeer other = healthyBackend();
    assertThat(callWithLongBody("a1").status(), is(502));
    awaitOutcomes(BROKEN);
    assertThat(other.requests.size(), is(0));
    fixture.onLoop(() -> assertThat(fixture.metrics.partlySent, is(1L)));
  }

  /**
   * Guards against a second execution, or a refusal, of a partly sent request when its backend
   * sends nothing until the attempt times out.
   */
  @Test
  void partlySentRequestIsNotRetriedAfterATimeout() throws IOException {
    fixture.router.firstEventTimeoutMicros = FIRST_EVENT_TIMEOUT_MICROS;
    startBackendThatReadsOnlyHeads((id, socket) -> {});
    ScriptedPeer other = healthyBackend();
    assertThat(callWithLongBody("a1").status(), is(502));
    awaitOutcomes(TIMEOUT);
    assertThat(other.requests.size(), is(0));
  }

  @Test
  void connectionWithAnIncompletelySentBodyIsNotReused() throws IOException {
    startBackendThatReadsOnlyHeads(
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
