package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.BROKEN;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.ERROR_RESPONSE;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.NOT_EXECUTED;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.NOT_SENT;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.OTHER_INSTANCE;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.SUCCESS;
import static slateslip.routing.RouterInput.AttemptOutcome.Kind.TIMEOUT;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateslip.configuration.FleetConfiguration;
import slateslip.configuration.HeaderText;
import slateslip.configuration.IngressLimits;
import slateslip.configuration.RoutingTable;
import slateslip.configuration.Service;
import slateslip.dataplane.DataPlaneFixture.ClientResponse;
import slateslip.dataplane.backend.ProbeResult;
import slateslip.distribution.BackendSession;
import slateslip.loadbalancer.net.ScriptedPeer;
import slateslip.routing.KeyLease;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterInput.ProbeOutcome;

/** Tests misbehaving backends and the reuse of connections to backends. */
class BackendsTest {
  private DataPlaneFixture fixture;

  @BeforeEach
  void open() throws IOException {
    fixture = new DataPlaneFixture();
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private ScriptedPeer healthyBackend() throws IOException {
    return fixture.backend(
        (message, socket) -> DataPlaneFixture.serve(message, socket, "", "good"));
  }

  private void awaitOutcomes(AttemptOutcome.Kind... expected) {
    DataPlaneFixture.await(() -> fixture.router.outcomes().size() >= expected.length);
    assertThat(fixture.router.outcomes(), is(List.of(expected)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\u0000\u0001\u0002 no answer at all",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: s\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: s\r\nContent-Length: -5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\nfake",
        "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nfake",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nfake",
        "HTTP/1.1 +200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nfake",
        "HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: a1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfa",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      })
  void neverRelaysAnInvalidOrIncompleteResponse(String bytes) throws IOException {
    fixture.backend(
        (message, socket) -> {
          ScriptedPeer.write(socket, bytes);
          socket.close();
        });
    healthyBackend();
    assertThat(fixture.call("a1").body(), is("good"));
    awaitOutcomes(BROKEN, SUCCESS);
  }

  @Test
  void doesNotRetryARequestThatMayHaveRun() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
    fixture.backend((message, socket) -> ScriptedPeer.reset(socket));
    ScriptedPeer second = healthyBackend();
    assertThat(fixture.call("a1").status(), is(502));
    awaitOutcomes(BROKEN);
    assertThat(second.requests.size(), is(0));
  }

  @Test
  void reportsNotSentWhenTheConnectionIsRefused() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
    fixture.deadBackend();
    healthyBackend();
    assertThat(fixture.call("a1").body(), is("good"));
    awaitOutcomes(NOT_SENT, SUCCESS);
  }

  @Test
  void requestWithAKeyIsWithheldWithoutALease() throws IOException {
    fixture.close();
    fixture = new DataPlaneFixture(null, KeyLease.required());
    fixture.router.retriesBrokenAttempts = false;
    fixture.router.tenant = "t";
    ScriptedPeer backend = healthyBackend();
    fixture.call("a1");
    awaitOutcomes(AttemptOutcome.Kind.WITHHELD);
    assertThat(backend.requests.size(), is(0));
    fixture.keyLease.extendTo(Long.MAX_VALUE);
    assertThat(fixture.call("a2").body(), is("good"));
  }

  @Test
  void reportsRequestsThatABackendDidNotExecute() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
    fixture.backend(
        (message, socket) ->
            ScriptedPeer.respond(
                socket, 503, DataPlaneFixture.idOf(message) + "X-Not-Executed: 1\r\n", ""));
    fixture.backend(
        (message, socket) ->
            ScriptedPeer.respond(
                socket, 421, DataPlaneFixture.idOf(message) + "X-Instance-Id: i-9\r\n", ""));
    healthyBackend();
    assertThat(fixture.call("a1").body(), is("good"));
    awaitOutcomes(NOT_EXECUTED, OTHER_INSTANCE, SUCCESS);
  }

  /**
   * Backend ids may contain non-ASCII characters, which are sent as UTF-8 and compared with the ids
   * in responses.
   */
  @Test
  void backendIdsAreSentAsUtf8() throws Exception {
    String id = "i-\u017e\u6771";
    String idBytes = HeaderText.encode(id);
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) ->
                ScriptedPeer.respond(
                    socket,
                    message.target().equals("/health") ? 200 : 421,
                    DataPlaneFixture.idOf(message) + "X-Instance-Id: " + idBytes + "\r\n",
                    ""));
    fixture.replaceBackends(
        List.of(new BackendSession(id, "svc", backend.address(), "z", "v1", 4, false, 0, 1)));
    fixture.call("a1");
    awaitOutcomes(NOT_EXECUTED);
    assertThat(backend.requests.get(0).header("X-Target-Instance"), is(idBytes));
    List<ProbeOutcome> outcomes = new java.util.concurrent.CopyOnWriteArrayList<>();
    fixture.onLoop(() -> fixture.pools.probe(id, result -> outcomes.add(result.outcome())));
    DataPlaneFixture.await(() -> !outcomes.isEmpty());
    assertThat(outcomes, contains(ProbeOutcome.HEALTHY));
  }

  /**
   * A health path from the configuration may contain characters that a request line can only carry
   * percent-encoded.
   */
  @Test
  void probesHealthPathsWithNonAsciiCharacters() throws Exception {
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) -> ScriptedPeer.respond(socket, 200, "X-Instance-Id: b-1\r\n", ""));
    Service service = new Service("svc", "/zdravie a\u017e\n?x=1", 0, null);
    FleetConfiguration configuration =
        new FleetConfiguration(1, List.of(), List.of(service), IngressLimits.DEFAULT, List.of());
    fixture.onLoop(() -> fixture.pools.tableChanged(new RoutingTable(configuration)));
    List<ProbeOutcome> outcomes = new java.util.concurrent.CopyOnWriteArrayList<>();
    fixture.onLoop(() -> fixture.pools.probe("b-1", result -> outcomes.add(result.outcome())));
    DataPlaneFixture.await(() -> !outcomes.isEmpty());
    assertThat(outcomes, contains(ProbeOutcome.HEALTHY));
    assertThat(backend.requests.get(0).target(), is("/zdravie%20a%C5%BE%0A?x=1"));
  }

  @Test
  void relaysAnErrorResponseUnchanged() throws IOException {
    fixture.backend(
        (message, socket) ->
            ScriptedPeer.respond(
                socket, 500, DataPlaneFixture.stamped(message) + "X-Why: w\r\n", "broken inside"));
    ClientResponse response = fixture.call("a1");
    assertThat(response.status(), is(500));
    assertThat(response.body(), is("broken inside"));
    assertThat(response.header("X-Why"), is("w"));
    awaitOutcomes(ERROR_RESPONSE);
  }

  @Test
  void skipsAResponseToAnEarlierRequest() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) -> {
              ScriptedPeer.respond(
                  socket, 200, "X-Attempt-Id: old\r\nX-Response-Stamp: s\r\n", "old");
              DataPlaneFixture.serve(message, socket, "Keep-Alive: timeout=5\r\n", "mine");
            });
    assertThat(fixture.call("a1").body(), is("mine"));
    assertThat(fixture.call("a2").body(), is("mine"));
    assertThat(backend.sockets.size(), is(2)); // a connection with a surplus response is not reused
    fixture.onLoop(() -> assertThat(fixture.metrics.surplusResponses, is(2L)));
  }

  @Test
  void idleConnectionIsReused() throws IOException {
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) ->
                DataPlaneFixture.serve(message, socket, "Keep-Alive: timeout=60\r\n", "x"));
    fixture.call("a1");
    fixture.call("a2");
    fixture.call("a3");
    assertThat(backend.sockets.size(), is(1));
  }

  @Test
  void doesNotReuseAConnectionAfterConnectionClose() throws IOException {
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) ->
                DataPlaneFixture.serve(
                    message, socket, "Keep-Alive: timeout=60\r\nConnection: close\r\n", "x"));
    fixture.call("a1");
    fixture.call("a2");
    assertThat(backend.sockets.size(), is(2));
  }

  @Test
  void doesNotReuseAConnectionWithBytesAfterTheResponse() throws IOException {
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) ->
                ScriptedPeer.write(
                    socket,
                    "HTTP/1.1 200 OK\r\n"
                        + DataPlaneFixture.stamped(message)
                        + "Keep-Alive: timeout=60\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n"));
    assertThat(fixture.call("a1").body(), is("x"));
    assertThat(fixture.call("a2").body(), is("x"));
    assertThat(backend.sockets.size(), is(2));
  }

  @Test
  void doesNotReuseAConnectionThatTheBackendHasClosed() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) -> {
              DataPlaneFixture.serve(message, socket, "Keep-Alive: timeout=60\r\n", "x");
              socket.close();
            });
    fixture.call("a1");
    DataPlaneFixture.await(() -> backend.ended.size() == 1);
    assertThat(fixture.call("a2").body(), is("x"));
    awaitOutcomes(SUCCESS, SUCCESS);
  }

  @Test
  void unresponsiveBackendTimesOut() throws IOException {
    fixture.router.firstEventTimeoutMicros =
        1_000_000; // well above the time to establish a connection
    ScriptedPeer unresponsive = fixture.backend((message, socket) -> {});
    assertThat(fixture.call("a1").status(), is(502));
    awaitOutcomes(TIMEOUT);
    DataPlaneFixture.await(() -> unresponsive.ended.size() == 1);
  }

  @Test
  void sendsNoRequestToABackendThatIsNoLongerListed() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) ->
                DataPlaneFixture.serve(message, socket, "Keep-Alive: timeout=60\r\n", "x"));
    fixture.call("a1");
    fixture.onLoop(() -> fixture.pools.backendsChanged(List.of()));
    DataPlaneFixture.await(() -> backend.ended.size() == 1); // the idle connection is closed
    assertThat(fixture.call("a2").status(), is(502));
    awaitOutcomes(SUCCESS, NOT_SENT);
  }

  @Test
  void reportsTheLoadOfABackendWithTheOutcome() throws IOException {
    fixture.backend(
        (message, socket) ->
            DataPlaneFixture.serve(message, socket, "X-Backend-Load: 3, 1, 8\r\n", "x"));
    ClientResponse response = fixture.call("a1");
    assertThat(response.headers().containsKey("X-Backend-Load"), is(false));
    awaitOutcomes(SUCCESS);
    RouterInput.AttemptEnded ended =
        (RouterInput.AttemptEnded) fixture.router.inputs.get(fixture.router.inputs.size() - 1);
    assertThat(ended.load(), is(new BackendLoad(3, 1, 8)));
  }

  @Test
  void reportsTheOutcomesOfProbes() throws Exception {
    fixture.backend(
        (message, socket) -> ScriptedPeer.respond(socket, 200, "X-Instance-Id: b-1\r\n", ""));
    fixture.backend(
        (message, socket) -> ScriptedPeer.respond(socket, 503, "X-Instance-Id: b-2\r\n", ""));
    fixture.backend(
        (message, socket) -> ScriptedPeer.respond(socket, 503, "X-Not-Executed: 1\r\n", ""));
    fixture.backend(
        (message, socket) -> ScriptedPeer.respond(socket, 200, "X-Instance-Id: b-9\r\n", ""));
    fixture.deadBackend();
    List<ProbeOutcome> outcomes = new java.util.concurrent.CopyOnWriteArrayList<>();
    for (int i = 1; i <= 5; i++) {
      int known = outcomes.size();
      String id = "b-" + i;
      fixture.onLoop(
          () -> fixture.pools.probe(id, (ProbeResult result) -> outcomes.add(result.outcome())));
      DataPlaneFixture.await(() -> outcomes.size() > known);
    }
    assertThat(
        outcomes,
        contains(
            ProbeOutcome.HEALTHY,
            ProbeOutcome.UNHEALTHY,
            ProbeOutcome.FULL,
            ProbeOutcome.OTHER_INSTANCE,
            ProbeOutcome.UNREACHABLE));
  }
}
