package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.DataPlaneFixture.ClientResponse;
import slateslip.loadbalancer.net.ScriptedPeer;

/** Every request is counted once, by how its client has seen it end. */
class RequestOutcomeTest {
  private DataPlaneFixture fixture;

  @BeforeEach
  void open() throws IOException {
    fixture = new DataPlaneFixture();
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private long ended(RequestOutcome outcome) {
    long[] count = new long[1];
    fixture.onLoop(() -> count[0] = fixture.metrics.endedWith(outcome));
    return count[0];
  }

  private long endedAtAll() {
    long all = 0;
    for (RequestOutcome outcome : RequestOutcome.values()) {
      all += ended(outcome);
    }
    return all;
  }

  private void awaitEnded(RequestOutcome outcome) {
    DataPlaneFixture.await(() -> ended(outcome) == 1);
    assertThat("counted once", endedAtAll(), is(1L));
  }

  @Test
  void aWholeResponseIsServed() throws IOException {
    fixture.backend((message, socket) -> DataPlaneFixture.serve(message, socket, "", "x"));
    fixture.call("a1");
    awaitEnded(RequestOutcome.SERVED);
  }

  @Test
  void aWholeStreamIsServed() throws IOException {
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, DataPlaneFixture.event(1));
          DataPlaneFixture.lastChunk(socket);
        });
    assertThat(fixture.call("a1").complete(), is(true));
    awaitEnded(RequestOutcome.SERVED);
  }

  @Test
  void aStreamThatIsCutIsBrokenOff() throws IOException {
    fixture.router.repeatable = false;
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, DataPlaneFixture.event(1));
          socket.close();
        });
    assertThat(fixture.call("a1").complete(), is(false));
    awaitEnded(RequestOutcome.BROKEN_OFF);
  }

  @Test
  void aClientThatLeavesIsCountedAsGone() throws IOException {
    ScriptedPeer backend = fixture.backend((message, socket) -> {});
    Socket socket = fixture.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", ""));
    DataPlaneFixture.await(() -> backend.requests.size() == 1);
    socket.close();
    awaitEnded(RequestOutcome.CLIENT_GONE);
  }

  @Test
  void aFailureOfTheBackendIsFailed() throws IOException {
    fixture.backend(
        (message, socket) ->
            ScriptedPeer.respond(socket, 500, DataPlaneFixture.stamped(message), "broken"));
    ClientResponse response = fixture.call("a1");
    assertThat(response.status(), is(500));
    awaitEnded(RequestOutcome.FAILED);
  }

  @Test
  void statusesOfTheDataPlanesOwnHaveTheirOutcomes() {
    assertThat(RequestOutcome.ofOwnStatus(503), is(RequestOutcome.REFUSED));
    assertThat(RequestOutcome.ofOwnStatus(429), is(RequestOutcome.OVER_QUOTA));
    assertThat(RequestOutcome.ofOwnStatus(504), is(RequestOutcome.TIMED_OUT));
    assertThat(RequestOutcome.ofOwnStatus(502), is(RequestOutcome.FAILED));
    assertThat(RequestOutcome.ofOwnStatus(404), is(RequestOutcome.DENIED));
  }
}
