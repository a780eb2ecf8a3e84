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
 * A request that may not be repeated meets one behaviour of a backend, and what goes on elsewhere
 * meets another: it runs once at most, its response is its own, and the connection that it leaves
 * behind spoils no later request.
 */
class ConnectionRaceTest {
  private static final long IDLE_TIMEOUT_MICROS = 800_000;
  private static final int NOT_REPEATED = 502;

  /** What a backend does with a request. */
  enum Behaviour {
    /** Runs it and answers. */
    RESPONDS(true, 200),
    /** Runs it and fails. */
    FAILS(true, 500),
    /** Runs it, and its response is lost with the connection. */
    RESETS(true, NOT_REPEATED),
    /** Runs it and says nothing. */
    NEVER_RESPONDS(true, NOT_REPEATED),
    /** Runs it and breaks its response off. */
    BREAKS_OFF(true, NOT_REPEATED),
    /** Runs it, and sends a response to an earlier request before its own. */
    OTHER_RESPONSE_FIRST(true, 200),
    /** Runs it, and sends bytes behind its response. */
    SURPLUS_RESPONSE(true, 200),
    /** Runs it, and only a response to another request comes. */
    ONLY_OTHER_RESPONSE(true, NOT_REPEATED),
    /** Is full, and says that it has not run it. */
    IS_FULL(false, 0),
    /** Is another instance at the same address. */
    IS_ANOTHER(false, 0);

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
    fixture.router.repeatable = false;
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
          if (!id.startsWith("crossing")) {
            DataPlaneFixture.serve(message, socket, "Keep-Alive: timeout=60\r\n", id);
            return;
          }
          if (behaviour.runs) {
            runs.add(id);
          }
          behave(behaviour, message, socket);
        });
  }

  private static void behave(Behaviour behaviour, ScriptedPeer.Message message, Socket socket)
      throws IOException {
    String id = message.header("X-Attempt-Id");
    String keep = "Keep-Alive: timeout=60\r\n";
    switch (behaviour) {
      case RESPONDS -> DataPlaneFixture.serve(message, socket, keep, id);
      case FAILS -> ScriptedPeer.respond(socket, 500, DataPlaneFixture.stamped(message) + keep, id);
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
        DataPlaneFixture.serve(message, socket, keep, id);
      }
      case SURPLUS_RESPONSE ->
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\n"
                  + DataPlaneFixture.stamped(message)
                  + keep
                  + "Content-Length: "
                  + id.length()
                  + "\r\n\r\n"
                  + id
                  + "HTTP/1.1 200 OK\r\nX-Attempt-Id: later-1\r\nContent-Length: 0\r\n\r\n");
      case ONLY_OTHER_RESPONSE ->
          ScriptedPeer.respond(socket, 200, "X-Attempt-Id: old\r\nX-Response-Stamp: s\r\n", "old");
      case IS_FULL ->
          ScriptedPeer.respond(
              socket, 503, DataPlaneFixture.idOf(message) + keep + "X-Not-Executed: 1\r\n", "");
      case IS_ANOTHER ->
          ScriptedPeer.respond(
              socket, 421, DataPlaneFixture.idOf(message) + keep + "X-Instance-Id: i-9\r\n", "");
    }
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void onANewConnection(Behaviour first, Behaviour second) throws IOException {
    backend(first);
    backend(second);
    check(first, second, "crossing-1");
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void onReusedConnection(Behaviour first, Behaviour second) throws IOException {
    backend(first);
    assertThat(fixture.call("before").body(), is("before"));
    backend(second);
    check(first, second, "crossing-1");
  }

  private void check(Behaviour first, Behaviour second, String id) throws IOException {
    Behaviour last = first.runs ? first : second;
    ClientResponse response = fixture.call(id);
    int expected = last.status == 0 ? NOT_REPEATED : last.status;
    assertThat(response.status(), is(expected));
    if (last.status != NOT_REPEATED && last.status != 0) {
      assertThat(response.body(), is(id));
    }
    assertThat(runs.size(), lessThanOrEqualTo(1));
    assertThat(fixture.call("later-1").body(), is("later-1"));
    assertThat(fixture.call("later-2").body(), is("later-2"));
  }
}
