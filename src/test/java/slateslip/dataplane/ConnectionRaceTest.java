package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import slateslip.dataplane.DataPlaneFixture.ClientResponse;
import slateslip.loadbalancer.net.ScriptedPeer;

/**
 * Sends a request that may not be retried to a backend with one behaviour, and to a backend with
 * another behaviour if the first backend did not run the request. The request has to run at most
 * once and get its own response, and the connection that it used must not affect later requests.
 */
class ConnectionRaceTest {
  private static final long IDLE_TIMEOUT_MICROS = 800_000;
  private static final int NOT_RETRIED = 502;

  /** Ways in which a backend handles a request. */
  enum Behaviour {
    /** Runs the request and responds. */
    RESPONDS(true, 200),
    /** Runs the request and responds with an error. */
    FAILS(true, 500),
    /** Runs the request, and resets the connection before the response. */
    RESETS(true, NOT_RETRIED),
    /** Runs the request and sends nothing. */
    NEVER_RESPONDS(true, NOT_RETRIED),
    /** Runs the request and closes the connection in the middle of the response. */
    BREAKS_OFF(true, NOT_RETRIED),
    /**
     * Runs the request, and sends a response to an earlier request before the response to this one.
     */
    OTHER_RESPONSE_FIRST(true, 200),
    /** Runs the request, and sends bytes after the response. */
    SURPLUS_RESPONSE(true, 200),
    /** Runs the request, and sends only a response to another request. */
    ONLY_OTHER_RESPONSE(true, NOT_RETRIED),
    /** Has no free capacity, and responds that it did not run the request. */
    REJECTS_FOR_CAPACITY(false, 0),
    /** Is another instance at the same address, and does not run the request. */
    IS_ANOTHER_INSTANCE(false, 0);

    private final boolean runs;
    private final int status;

    Behaviour(boolean runs, int status) {
      this.runs = runs;
      this.status = status;
    }
  }

  private final List<String> runs = new CopyOnWriteArrayList<>();
  private DataPlaneFixture fixture;

  static Stream<Arguments> pairs() {
    return Stream.of(Behaviour.values())
        .flatMap(
            first ->
                Stream.of(Behaviour.values())
                    .filter(second -> !first.runs || second == Behaviour.RESPONDS)
                    .map(second -> Arguments.of(first, second)));
  }

  @BeforeEach
  void open() throws IOException {
    fixture = new DataPlaneFixture();
    fixture.router.retriesBrokenAttempts = false;
    fixture.router.firstEventTimeoutMicros = IDLE_TIMEOUT_MICROS;
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private void backend(Behaviour behaviour) throws IOException {
    fixture.backend(
        (message, socket) -> {
          String id = message.header("X-Attempt-Id");
          if (!id.startsWith("tested")) {
            DataPlaneFixture.serve(message, socket, "Keep-Alive: timeout=60\r\n", id);
            return;
          }
          if (behaviour.runs) {
            runs.add(id);
          }
          carryOut(behaviour, message, socket);
        });
  }

  private static void carryOut(Behaviour behaviour, ScriptedPeer.Message message, Socket socket)
      throws IOException {
    String id = message.header("X-Attempt-Id");
    String keepAlive = "Keep-Alive: timeout=60\r\n";
    switch (behaviour) {
      case RESPONDS -> DataPlaneFixture.serve(message, socket, keepAlive, id);
      case FAILS ->
          ScriptedPeer.respond(socket, 500, DataPlaneFixture.stamped(message) + keepAlive, id);
      case RESETS -> ScriptedPeer.reset(socket);
      case NEVER_RESPONDS -> {}
      case BREAKS_OFF -> {
        ScriptedPeer.write(
            socket,
            "HTTP/1.1 200 OK\r\n"
                + DataPlaneFixture.stamped(message)
                + "Content-Length: 90\r\n\r\n"
                + id);
        socket.close();
      }
      case OTHER_RESPONSE_FIRST -> {
        ScriptedPeer.respond(socket, 200, "X-Attempt-Id: old\r\nX-Response-Stamp: s\r\n", "old");
        DataPlaneFixture.serve(message, socket, keepAlive, id);
      }
      case SURPLUS_RESPONSE ->
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\n"
                  + DataPlaneFixture.stamped(message)
                  + keepAlive
                  + "Content-Length: "
                  + id.length()
                  + "\r\n\r\n"
                  + id
                  + "HTTP/1.1 200 OK\r\nX-Attempt-Id: later-1\r\nContent-Length: 0\r\n\r\n");
      case ONLY_OTHER_RESPONSE ->
          ScriptedPeer.respond(socket, 200, "X-Attempt-Id: old\r\nX-Response-Stamp: s\r\n", "old");
      case REJECTS_FOR_CAPACITY ->
          ScriptedPeer.respond(
              socket,
              503,
              DataPlaneFixture.idOf(message) + keepAlive + "X-Not-Executed: 1\r\n",
              "");
      case IS_ANOTHER_INSTANCE ->
          ScriptedPeer.respond(
              socket,
              421,
              DataPlaneFixture.idOf(message) + keepAlive + "X-Instance-Id: i-9\r\n",
              "");
    }
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void requestRunsAtMostOnceOnANewConnection(Behaviour first, Behaviour second) throws IOException {
    backend(first);
    backend(second);
    checkResponseAndRuns(first, second, "tested-1");
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void requestRunsAtMostOnceOnAReusedConnection(Behaviour first, Behaviour second)
      throws IOException {
    backend(first);
    assertThat(fixture.call("before").body(), is("before"));
    backend(second);
    checkResponseAndRuns(first, second, "tested-1");
  }

  private void checkResponseAndRuns(Behaviour first, Behaviour second, String id)
      throws IOException {
    Behaviour last = first.runs ? first : second;
    ClientResponse response = fixture.call(id);
    int expected = last.status == 0 ? NOT_RETRIED : last.status;
    assertThat(response.status(), is(expected));
    if (last.status != NOT_RETRIED && last.status != 0) {
      assertThat(response.body(), is(id));
    }
    assertThat(runs.size(), lessThanOrEqualTo(1));
    assertThat(fixture.call("later-1").body(), is("later-1"));
    assertThat(fixture.call("later-2").body(), is("later-2"));
  }
}
