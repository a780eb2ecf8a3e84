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

/** Tests that every request is counted once, under the outcome that its client has seen. */
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

  private long totalEnded() {
    long all = 0;
    for (RequestOutcome outcome : RequestOutcome.values()) {
      all += ended(outcome);
    }
    return all;
  }

  private void awaitEnded(RequestOutcome outcome) {
    DataPlaneFixture.await(() -> ended(outcome) == 1);
    assertThat("counted once", totalEnded(), is(1L));
  }

  @Test
  void completeResponseIsCountedAsServed() throws IOException {
    fixture.backend((message, socket) -> DataPlaneFixture.serve(message, socket, "", "x"));
    fixture.call("a1");
    awaitEnded(RequestOutcome.SERVED);
  }

  @Test
  void completeStreamIsCountedAsServed() throws IOException {
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
  void interruptedStreamIsCountedAsBrokenOff() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
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
  void disconnectedClientIsCountedAsGone() throws IOException {
    ScriptedPeer backend = fixture.backend((message, socket) -> {});
    Socket socket = fixture.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", ""));
    DataPlaneFixture.await(() -> backend.requests.size() == 1);
    socket.close();
    awaitEnded(RequestOutcome.CLIENT_GONE);
  }

  @Test
  void errorResponseOfTheBackendIsCountedAsFailed() throws IOException {
    fixture.backend(
        (message, socket) ->
            ScriptedPeer.respond(socket, 500, DataPlaneFixture.stamped(message), "broken"));
    ClientResponse response = fixture.call("a1");
    assertThat(response.status(), is(500));
    awaitEnded(RequestOutcome.FAILED);
  }

  @Test
  void localResponsesMapToOutcomesByStatus() {
    assertThat(RequestOutcome.ofLocalResponse(503), is(RequestOutcome.REFUSED));
    assertThat(RequestOutcome.ofLocalResponse(429), is(RequestOutcome.OVER_QUOTA));
    assertThat(RequestOutcome.ofLocalResponse(504), is(RequestOutcome.TIMED_OUT));
    assertThat(RequestOutcome.ofLocalResponse(502), is(RequestOutcome.FAILED));
    assertThat(RequestOutcome.ofLocalResponse(404), is(RequestOutcome.DENIED));
  }
}
