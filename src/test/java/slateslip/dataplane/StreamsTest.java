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
import slateslip.dataplane.DataPlaneFixture.Answer;
import slateslip.loadbalancer.net.ScriptedPeer;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterInput.AttemptOutcome;

/** Streams of events: passed on at once, whole, and taken up again. */
class StreamsTest {
  private DataPlaneFixture stage;

  @BeforeEach
  void open() throws IOException {
    stage = new DataPlaneFixture();
  }

  @AfterEach
  void close() throws IOException {
    stage.close();
  }

  private static String events(int from, int to) {
    StringBuilder events = new StringBuilder();
    for (int id = from; id <= to; id++) {
      events.append(DataPlaneFixture.event(id));
    }
    return events.toString();
  }

  @Test
  void passesEachWholeEventOnAtOnce() throws Exception {
    BlockingQueue<String> parts = new LinkedBlockingQueue<>();
    stage.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          for (String part = parts.take(); !part.isEmpty(); part = parts.take()) {
            DataPlaneFixture.chunk(socket, part);
          }
          DataPlaneFixture.lastChunk(socket);
        });
    Socket socket = stage.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", ""));
    InputStream in = socket.getInputStream();
    parts.add(DataPlaneFixture.event(1) + "id: 2\nda");
    Answer.readHead(in);
    assertThat(Answer.readChunk(in), is(DataPlaneFixture.event(1))); // the half event is held back
    parts.add("ta: piece 2\n\n");
    assertThat(Answer.readChunk(in), is(DataPlaneFixture.event(2)));
    parts.add("");
    assertThat(Answer.readChunk(in), is(""));
    ScriptedPeer.write(socket, DataPlaneFixture.request("a2", "", ""));
    parts.add(DataPlaneFixture.event(1));
    Answer.readHead(in); // the connection goes on
  }

  @Test
  void takesABrokenStreamUpAtAnotherBackend() throws IOException {
    stage.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 3) + "id: 4\ndata: pie");
          ScriptedPeer.reset(socket);
        });
    ScriptedPeer second =
        stage.backend(
            (message, socket) -> {
              DataPlaneFixture.beginStream(message, socket);
              DataPlaneFixture.chunk(socket, events(3, 5)); // one that the client has had
              DataPlaneFixture.lastChunk(socket);
            });
    Socket socket = stage.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "Last-Event-Id: 0\r\n", "prompt"));
    Answer answer = Answer.read(socket.getInputStream());
    assertThat(answer.body().replaceAll("(?s).*?id: ", "id: "), answer.complete(), is(true));
    ScriptedPeer.Message resumed = second.requests.get(0);
    String passed = answer.body();
    assertThat(passed, is(events(1, 5)));
    assertThat(resumed.header("Last-Event-Id"), is("3"));
    assertThat(resumed.text(), is("prompt"));
    stage.onLoop(() -> assertThat(stage.metrics.resumed, is(1L)));
  }

  @Test
  void leavesABackendThatFallsSilentInTheMiddle() throws IOException {
    stage.router.silenceTimeoutMicros = 100_000;
    ScriptedPeer dark =
        stage.backend(
            (message, socket) -> {
              DataPlaneFixture.beginStream(message, socket);
              DataPlaneFixture.chunk(socket, events(1, 2));
            });
    stage.backend(
        (message, socket) -> {
          String rest = events(3, 4); // in one write, so that no pause falls between its parts
          DataPlaneFixture.beginStream(message, socket);
          ScriptedPeer.write(
              socket, Integer.toHexString(rest.length()) + "\r\n" + rest + "\r\n0\r\n\r\n");
        });
    Answer answer = stage.call("a1");
    assertThat(answer.body(), is(events(1, 4)));
    assertThat(answer.complete(), is(true));
    DataPlaneFixture.await(() -> dark.ended.size() == 1);
  }

  @Test
  void sendsTheClientsOwnLastEventIdWhileNothingWasPassedOn() throws IOException {
    stage.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          socket.close();
        });
    ScriptedPeer second =
        stage.backend(
            (message, socket) -> {
              DataPlaneFixture.beginStream(message, socket);
              DataPlaneFixture.chunk(socket, events(13, 14));
              DataPlaneFixture.lastChunk(socket);
            });
    Socket socket = stage.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "Last-Event-Id: 12\r\n", ""));
    assertThat(Answer.read(socket.getInputStream()).body(), is(events(13, 14)));
    assertThat(second.requests.get(0).header("Last-Event-Id"), is("12"));
  }

  @Test
  void breaksOffWhatCannotBeFinished() throws IOException {
    stage.router.repeatable = false;
    stage.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 2) + "id: 3\n");
          socket.close();
        });
    Answer answer = stage.call("a1");
    assertThat(answer.body(), is(events(1, 2)));
    assertThat(answer.complete(), is(false));
  }

  @Test
  void aStreamThatEndsInsideAnEventIsNotComplete() throws IOException {
    stage.router.repeatable = false;
    stage.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 2) + "id: 3\ndata: cut");
          DataPlaneFixture.lastChunk(socket);
        });
    Answer answer = stage.call("a1");
    assertThat(answer.body(), is(events(1, 2)));
    assertThat(answer.complete(), is(false));
  }

  @Test
  void aStreamWithoutAFramingIsNotComplete() throws IOException {
    stage.router.repeatable = false;
    stage.backend(
        (message, socket) -> {
          ScriptedPeer.write(
              socket,
              "HTTP/1.1 200 OK\r\n"
                  + DataPlaneFixture.stamped(message)
                  + "Content-Type: text/event-stream\r\n\r\n"
                  + events(1, 2));
          socket.close();
        });
    assertThat(stage.call("a1").complete(), is(false));
  }

  @Test
  void breaksOffWhereTheStreamDoesNotGoOn() throws IOException {
    stage.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 2));
          ScriptedPeer.reset(socket);
        });
    stage.backend((message, socket) -> DataPlaneFixture.serve(message, socket, "", "no stream"));
    Answer answer = stage.call("a1");
    assertThat(answer.complete(), is(false));
    assertThat(answer.header("X-Response-Stamp"), is("s1"));
  }

  @Test
  void tellsTheLoadOfAStreamsHeadWhenItStarts() throws IOException {
    stage.backend(
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
    assertThat(stage.call("a1").complete(), is(true));
    DataPlaneFixture.await(() -> stage.router.ends().size() == 1);
    assertThat(
        stage.router.inputs,
        hasItem(new RouterInput.AttemptStarted(1, 0, new RouterInput.BackendLoad(3, 1, 8))));
    assertThat(
        stage.router.inputs,
        hasItem(
            new RouterInput.AttemptEnded(
                1, 0, new AttemptOutcome(AttemptOutcome.Kind.SUCCESS, 200), null, 2)));
  }

  @Test
  void anErrorAfterTheFirstEventBreaksOff() throws IOException {
    stage.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events(1, 2));
          ScriptedPeer.reset(socket);
        });
    stage.backend(
        (message, socket) ->
            ScriptedPeer.answer(socket, 500, DataPlaneFixture.stamped(message), "no"));
    assertThat(stage.call("a1").complete(), is(false));
  }

  @Test
  void aStreamWithoutEventsIsServed() throws IOException {
    stage.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.lastChunk(socket);
        });
    Answer answer = stage.call("a1");
    assertThat(answer.status(), is(200));
    assertThat(answer.complete(), is(true));
    assertThat(answer.header("Content-Length"), is(nullValue()));
  }

  @Test
  void cancelsAStreamWhoseClientHasGone() throws IOException {
    ScriptedPeer backend =
        stage.backend(
            (message, socket) -> {
              DataPlaneFixture.beginStream(message, socket);
              DataPlaneFixture.chunk(socket, events(1, 1));
            });
    Socket socket = stage.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", ""));
    Answer.readHead(socket.getInputStream());
    socket.close();
    DataPlaneFixture.await(() -> backend.ended.size() == 1);
  }

  @Test
  void aSlowClientHoldsItsBackendUp() throws IOException {
    int bytesMost = 64 << 20;
    String piece = "data: " + "x".repeat(1 << 16) + "\n\n";
    long[] sent = new long[1];
    stage.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          while (sent[0] < bytesMost) {
            DataPlaneFixture.chunk(socket, piece);
            sent[0] += piece.length();
          }
          DataPlaneFixture.lastChunk(socket);
        });
    Socket socket = stage.dial();
    ScriptedPeer.write(socket, DataPlaneFixture.request("a1", "", ""));
    InputStream in = socket.getInputStream();
    Answer.readHead(in);
    DataPlaneFixture.await(() -> stage.bufferedForClients() > 0);
    long read = 0;
    long buffered = 0;
    for (String chunk = Answer.readChunk(in); !chunk.isEmpty(); chunk = Answer.readChunk(in)) {
      read += chunk.length();
      buffered = Math.max(buffered, stage.bufferedForClients());
    }
    assertThat(buffered, is(lessThan(4L << 20)));
    assertThat(read, is(sent[0]));
  }
}
