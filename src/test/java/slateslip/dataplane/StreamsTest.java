package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.DataPlaneFixture.ClientResponse;
import slateslip.loadbalancer.net.ScriptedPeer;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterInput.AttemptOutcome;

/**
 * Tests that events of a stream are forwarded immediately and completely, and that broken streams
 * are resumed.
 */
class StreamsTest {
  private DataPlaneFixture fixture;

  @BeforeEach
  void open() throws IOException {
    fixture = new DataPlaneFixture();
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private static String events(int from, int to) {
    StringBuilder events = new StringBuilder();
    for (int id = from; id <= to; id++) {
      events.append(DataPlaneFixture.event(id));
    }
    return events.toString();
  }

  @Test
  void completeEventsAreForwardedAtOnce() throws Exception {
    BlockingQueue<String> parts = new LinkedBlockingQueue<>();
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          for (String part = parts.take(); !part.isEmpty(); part = parts.take()) {
            DataPlaneFixture.chunk(socket, part);
          }
          DataPlaneFixture.lastChunk(socket);
        });
    Socket socket = fixture.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", ""));
    InputStream in = socket.getInputStream();
    parts.add(DataPlaneFixture.event(1) + "id: 2\nda");
    ClientResponse.readHead(in);
    assertThat(
        ClientResponse.readChunk(in),
        is(DataPlaneFixture.event(1))); // the incomplete event is held back
    parts.add("ta: piece 2\n\n");
    assertThat(ClientResponse.readChunk(in), is(DataPlaneFixture.event(2)));
    parts.add("");
    assertThat(ClientResponse.readChunk(in), is(""));
    ScriptedPeer.write(socket, DataPlaneFixture.request("a2", "", ""));
    parts.add(DataPlaneFixture.event(1));
    ClientResponse.readHead(in); // the connection is still usable
  }

  @Test
  void resumesABrokenStreamAtAnotherBackend() throws IOException {
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 3) + "id: 4\ndata: pie");
          ScriptedPeer.reset(socket);
        });
    ScriptedPeer second =
        fixture.backend(
            (message, socket) -> {
              DataPlaneFixture.beginStream(message, socket);
              DataPlaneFixture.chunk(
                  socket, events(3, 5)); // includes event 3, which the client has received already
              DataPlaneFixture.lastChunk(socket);
            });
    Socket socket = fixture.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "Last-Event-Id: 0\r\n", "prompt"));
    ClientResponse response = ClientResponse.read(socket.getInputStream());
    assertThat(response.body().replaceAll("(?s).*?id: ", "id: "), response.complete(), is(true));
    ScriptedPeer.Message resumed = second.requests.get(0);
    String passed = response.body();
    assertThat(passed, is(events(1, 5)));
    assertThat(resumed.header("Last-Event-Id"), is("3"));
    assertThat(resumed.text(), is("prompt"));
    fixture.onLoop(() -> assertThat(fixture.metrics.resumed, is(1L)));
  }

  @Test
  void resumesAtAnotherBackendAfterTheIdleTimeout() throws IOException {
    fixture.router.idleTimeoutMicros = 100_000;
    ScriptedPeer silentBackend =
        fixture.backend(
            (message, socket) -> {
              DataPlaneFixture.beginStream(message, socket);
              DataPlaneFixture.chunk(socket, events(1, 2));
            });
    fixture.backend(
        (message, socket) -> {
          // a single write, so that no idle timeout can occur between its parts
          String rest = events(3, 4);
          DataPlaneFixture.beginStream(message, socket);
          ScriptedPeer.write(
              socket, Integer.toHexString(rest.length()) + "\r\n" + rest + "\r\n0\r\n\r\n");
        });
    ClientResponse response = fixture.call("a1");
    assertThat(response.body(), is(events(1, 4)));
    assertThat(response.complete(), is(true));
    DataPlaneFixture.await(() -> silentBackend.ended.size() == 1);
  }

  @Test
  void clientsLastEventIdIsForwardedUnchanged() throws IOException {
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          socket.close();
        });
    ScriptedPeer second =
        fixture.backend(
            (message, socket) -> {
              DataPlaneFixture.beginStream(message, socket);
              DataPlaneFixture.chunk(socket, events(13, 14));
              DataPlaneFixture.lastChunk(socket);
            });
    Socket socket = fixture.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "Last-Event-Id: 12\r\n", ""));
    assertThat(ClientResponse.read(socket.getInputStream()).body(), is(events(13, 14)));
    assertThat(second.requests.get(0).header("Last-Event-Id"), is("12"));
  }

  @Test
  void breaksOffAStreamThatCannotBeResumed() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 2) + "id: 3\n");
          socket.close();
        });
    ClientResponse response = fixture.call("a1");
    assertThat(response.body(), is(events(1, 2)));
    assertThat(response.complete(), is(false));
  }

  @Test
  void streamThatEndsInsideAnEventIsIncomplete() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 2) + "id: 3\ndata: cut");
          DataPlaneFixture.lastChunk(socket);
        });
    ClientResponse response = fixture.call("a1");
    assertThat(response.body(), is(events(1, 2)));
    assertThat(response.complete(), is(false));
  }

  @Test
  void streamWithoutFramingIsIncomplete() throws IOException {
    fixture.router.retriesBrokenAttempts = false;
    fixture.backend(
        (message, socket) -> {
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\n"
                  + DataPlaneFixture.stamped(message)
                  + "Content-Type: text/event-stream\r\n\r\n"
                  + events(1, 2));
          socket.close();
        });
    assertThat(fixture.call("a1").complete(), is(false));
  }

  @Test
  void breaksOffWhenTheNextBackendSendsNoStream() throws IOException {
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 2));
          ScriptedPeer.reset(socket);
        });
    fixture.backend((message, socket) -> DataPlaneFixture.serve(message, socket, "", "no stream"));
    ClientResponse response = fixture.call("a1");
    assertThat(response.complete(), is(false));
    assertThat(response.header("X-Response-Stamp"), is("s1"));
  }

  @Test
  void reportsTheLoadInAStreamHeadAtTheStart() throws IOException {
    fixture.backend(
        (message, socket) -> {
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\n"
                  + DataPlaneFixture.stamped(message)
                  + "X-Backend-Load: 3,1,8\r\nContent-Type: text/event-stream\r\n"
                  + "Transfer-Encoding: chunked\r\n\r\n");
          DataPlaneFixture.chunk(socket, events(1, 2));
          DataPlaneFixture.lastChunk(socket);
        });
    assertThat(fixture.call("a1").complete(), is(true));
    DataPlaneFixture.await(() -> fixture.router.outcomes().size() == 1);
    assertThat(
        fixture.router.inputs,
        hasItem(new RouterInput.AttemptStarted(1, 0, new RouterInput.BackendLoad(3, 1, 8))));
    assertThat(
        fixture.router.inputs,
        hasItem(
            new RouterInput.AttemptEnded(
                1, 0, new AttemptOutcome(AttemptOutcome.Kind.SUCCESS, 200), null, 2)));
  }

  @Test
  void errorResponseToAResumptionBreaksOffTheStream() throws IOException {
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 2));
          ScriptedPeer.reset(socket);
        });
    fixture.backend(
        (message, socket) ->
            ScriptedPeer.respond(socket, 500, DataPlaneFixture.stamped(message), "no"));
    assertThat(fixture.call("a1").complete(), is(false));
  }

  @Test
  void streamWithoutEventsIsRelayedCompletely() throws IOException {
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.lastChunk(socket);
        });
    ClientResponse response = fixture.call("a1");
    assertThat(response.status(), is(200));
    assertThat(response.complete(), is(true));
    assertThat(response.header("Content-Length"), is(nullValue()));
  }

  @Test
  void cancelsAStreamWhenTheClientDisconnects() throws IOException {
    ScriptedPeer backend =
        fixture.backend(
            (message, socket) -> {
              DataPlaneFixture.beginStream(message, socket);
              DataPlaneFixture.chunk(socket, events(1, 1));
            });
    Socket socket = fixture.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", ""));
    ClientResponse.readHead(socket.getInputStream());
    socket.close();
    DataPlaneFixture.await(() -> backend.ended.size() == 1);
  }

  @Test
  void slowClientLimitsTheBufferedBytes() throws IOException {
    int maxBytes = 64 << 20;
    String event = "data: " + "x".repeat(1 << 16) + "\n\n";
    long[] sent = new long[1];
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          while (sent[0] < maxBytes) {
            DataPlaneFixture.chunk(socket, event);
            sent[0] += event.length();
          }
          DataPlaneFixture.lastChunk(socket);
        });
    Socket socket = fixture.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", ""));
    InputStream in = socket.getInputStream();
    ClientResponse.readHead(in);
    DataPlaneFixture.await(() -> fixture.bufferedForClients() > 0);
    long read = 0;
    long buffered = 0;
    for (String chunk = ClientResponse.readChunk(in);
        !chunk.isEmpty();
        chunk = ClientResponse.readChunk(in)) {
      read += chunk.length();
      buffered = Math.max(buffered, fixture.bufferedForClients());
    }
    assertThat(buffered, is(lessThan(4L << 20)));
    assertThat(read, is(sent[0]));
  }
}
