package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.DataPlaneFixture.ClientResponse;
import slateslip.loadbalancer.net.ScriptedPeer;

/**
 * Tests that every request that was read completely gets a response when client connections end in
 * a shutdown.
 */
class LastResponseTest {
  /** More requests than a connection reads at once and than it reads ahead. */
  private static final int PIPELINED = 100;

  private DataPlaneFixture fixture;

  @BeforeEach
  void open() throws IOException {
    fixture = new DataPlaneFixture();
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private void startShutdown() {
    fixture.onLoop(fixture.ingress::startShutdown);
  }

  @Test
  void requestsReadBeforeTheLastResponseGetResponses() throws IOException {
    fixture.backend(
        (message, socket) -> DataPlaneFixture.serve(message, socket, "", message.text()));
    startShutdown();
    Socket socket = fixture.dial();
    ScriptedPeer.write(
        socket,
        DataPlaneFixture.request("a1", "", "one")
            + DataPlaneFixture.request("a2", "", "two")
            + DataPlaneFixture.request("a3", "", "three"));
    for (String expected : List.of("one", "two")) {
      ClientResponse response = ClientResponse.read(socket.getInputStream());
      assertThat(response.body(), is(expected));
      assertThat(response.header("Connection"), is(nullValue()));
    }
    ClientResponse last = ClientResponse.read(socket.getInputStream());
    assertThat(last.body(), is("three"));
    assertThat(last.header("Connection"), is("close"));
    assertThat(socket.getInputStream().read(), is(-1));
  }

  @Test
  void requestReadAfterTheLastResponseIsRefused() throws Exception {
    CountDownLatch secondIsRead = new CountDownLatch(1);
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) -> {
              DataPlaneFixture.beginStream(message, socket);
              DataPlaneFixture.chunk(socket, DataPlaneFixture.event(1));
              secondIsRead.await();
              DataPlaneFixture.chunk(socket, DataPlaneFixture.event(2));
              DataPlaneFixture.lastChunk(socket);
            });
    startShutdown();
    Socket socket = fixture.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", ""));
    InputStream in = socket.getInputStream();
    ClientResponse.readHead(in);
    assertThat(ClientResponse.readChunk(in), is(DataPlaneFixture.event(1)));
    ScriptedPeer.write(socket, DataPlaneFixture.request("a2", "", ""));
    DataPlaneFixture.await(() -> fixture.pipelinedRequests() == 1);
    secondIsRead.countDown();
    assertThat(ClientResponse.readChunk(in), is(DataPlaneFixture.event(2)));
    assertThat(ClientResponse.readChunk(in), is(""));
    ClientResponse second = ClientResponse.read(in);
    assertThat(second.status(), is(503));
    assertThat(second.header("X-Attempt-Id"), is("a2"));
    assertThat(in.read(), is(-1));
    assertThat(backend.requests.size(), is(1));
  }

  @Test
  void requestThatArrivesTooLateToFinishIsRefused() throws IOException {
    ScriptedPeer backend = fixture.backend((message, socket) -> {});
    Socket socket = fixture.dial();
    String request = DataPlaneFixture.request("a1", "", "body");
    ScriptedPeer.write(socket, request.substring(0, 20));
    DataPlaneFixture.await(() -> fixture.ingress.connectionCount() == 1);
    startShutdown();
    fixture.onLoop(fixture.ingress::refuseRequests);
    ScriptedPeer.write(socket, request.substring(20));
    ClientResponse response = ClientResponse.read(socket.getInputStream());
    assertThat(response.status(), is(503));
    assertThat(response.header("Connection"), is("close"));
    assertThat(Double.parseDouble(response.header("Retry-After")), is(0.25));
    assertThat(backend.requests.size(), is(0));
  }

  @Test
  void pipelinedRequestsThatArriveTooLateAreAllRefused() throws IOException {
    startShutdown();
    fixture.onLoop(fixture.ingress::refuseRequests);
    Socket socket = fixture.dial();
    StringBuilder requests = new StringBuilder();
    for (int i = 1; i <= PIPELINED; i++) {
      requests.append(DataPlaneFixture.request("a" + i, "", "body"));
    }
    ScriptedPeer.write(socket, requests.toString());
    for (int i = 1; i <= PIPELINED; i++) {
      ClientResponse response = ClientResponse.read(socket.getInputStream());
      assertThat(response.status(), is(503));
      assertThat(response.header("X-Attempt-Id"), is("a" + i));
      assertThat(response.header("Connection"), is(i < PIPELINED ? nullValue() : is("close")));
    }
    assertThat(socket.getInputStream().read(), is(-1));
  }

  @Test
  void idleConnectionWithAnArrivedRequestIsNotClosed() throws Exception {
    fixture.backend(
        (message, socket) -> DataPlaneFixture.serve(message, socket, "", message.text()));
    startShutdown();
    Socket socket = fixture.dial();
    DataPlaneFixture.await(() -> fixture.ingress.connectionCount() == 1);
    fixture.onLoop(
        () -> {
          // This task keeps the event loop busy, so that the loop cannot read the request before
          // closeIdle().
          try {
            ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", "one"));
          } catch (IOException failed) {
            throw new AssertionError(failed);
          }
          fixture.ingress.closeIdle();
        });
    assertThat(ClientResponse.read(socket.getInputStream()).body(), is("one"));
  }

  @Test
  void abortResponds504OrBreaksOffAStartedResponse() throws Exception {
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) -> {
              if (message.header("X-Attempt-Id").equals("a2")) {
                DataPlaneFixture.beginStream(message, socket);
                DataPlaneFixture.chunk(socket, DataPlaneFixture.event(1));
              }
            });
    Socket silent = fixture.dial();
    ScriptedPeer.write(silent, DataPlaneFixture.request("a1", "", ""));
    Socket streaming = fixture.dial();
    ScriptedPeer.write(streaming, DataPlaneFixture.request("a2", "", ""));
    ClientResponse.readHead(streaming.getInputStream());
    assertThat(ClientResponse.readChunk(streaming.getInputStream()), is(DataPlaneFixture.event(1)));
    DataPlaneFixture.await(() -> backend.requests.size() == 2);
    startShutdown();
    fixture.onLoop(fixture.forwarder::abortAll);
    ClientResponse response = ClientResponse.read(silent.getInputStream());
    assertThat(response.status(), is(504));
    assertThat(response.header("Connection"), is("close"));
    assertThat(streaming.getInputStream().read(), is(-1));
    DataPlaneFixture.await(() -> backend.ended.size() == 2);
  }
}
