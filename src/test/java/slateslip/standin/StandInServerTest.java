package slateslip.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.simulation.engine.EngineParameters;

/**
 * Tests the responses of the stand-in backends over real sockets. No test depends on a duration.
 */
class StandInServerTest {
  private final OkHttpClient client = new OkHttpClient();
  private EngineServer engine;
  private AppendLogServer appendLog;

  @BeforeEach
  void start() throws IOException {
    engine = new EngineServer(description("engines", 64), EngineParameters.DENSE_70B);
    engine.start();
    appendLog = new AppendLogServer(description("ledger", 6));
    appendLog.start();
  }

  @AfterEach
  void stop() {
    engine.close();
    appendLog.close();
  }

  @Test
  void engineStreamsAllEventsInOrder() throws IOException {
    try (Response response = send(request(engine).header("X-Token-Usage", "10,12"))) {
      assertThat(response.code(), is(200));
      assertThat(response.header("Content-Type"), startsWith("text/event-stream"));
      assertThat(response.header("X-Attempt-Id"), is("a-1"));
      assertThat(response.header("X-Response-Stamp"), notNullValue());
      assertThat(ids(response), equalTo("1 2 3"));
    }
  }

  @Test
  void resumedStreamStartsAfterLastEventId() throws IOException {
    Request.Builder resumed =
        request(engine).header("X-Token-Usage", "10,20").header("Last-Event-Id", "2");
    try (Response response = send(resumed)) {
      assertThat(ids(response), equalTo("3 4"));
    }
  }

  @Test
  void requestForAnotherInstanceIsNotExecuted() throws IOException {
    Request.Builder other = request(engine).header("X-Target-Instance", "another");
    try (Response response = send(other)) {
      assertThat(response.code(), is(421));
      assertThat(response.header("X-Not-Executed"), notNullValue());
    }
  }

  @Test
  void requestWithoutAttemptIdIsNotExecuted() throws IOException {
    Request.Builder withoutId = request(engine).removeHeader("X-Attempt-Id");
    try (Response response = send(withoutId)) {
      assertThat(response.code(), is(400));
      assertThat(response.header("X-Not-Executed"), notNullValue());
    }
  }

  @Test
  void requestLargerThanMemoryIsRejectedWithoutExecution() throws IOException {
    Request.Builder large = request(engine).header("X-Prompt-Prefix", "1:600000");
    try (Response response = send(large)) {
      assertThat(response.code(), is(503));
      assertThat(response.header("X-Not-Executed"), notNullValue());
      assertThat(response.header("X-Response-Stamp"), nullValue());
    }
  }

  @Test
  void healthCheckReturnsInstanceIdAndFailsWhileDraining() throws IOException {
    try (Response response = get(engine, "/health")) {
      assertThat(response.code(), is(200));
      assertThat(response.header("X-Instance-Id"), is(engine.description().id()));
      assertThat(response.header("X-Backend-Load"), is("0,0,64"));
    }
    engine.drain();
    try (Response response = get(engine, "/health")) {
      assertThat(response.code(), is(503));
    }
    try (Response response = send(request(engine))) {
      assertThat(response.code(), is(200));
      assertThat(response.header("Connection"), is("close"));
    }
  }

  @Test
  void reportContainsMemorySizeOfEngine() throws IOException {
    try (Response response = get(engine, "/report")) {
      assertThat(response.body().string(), containsString("\"kv_total\":577468"));
    }
  }

  @Test
  void appendLogNumbersEntriesConsecutively() throws IOException {
    try (Response response = send(request(appendLog))) {
      assertThat(response.body().string(), containsString("{\"entry\":1}"));
    }
    try (Response response = send(request(appendLog))) {
      assertThat(response.body().string(), containsString("{\"entry\":2}"));
      assertThat(response.header("X-Response-Stamp"), notNullValue());
    }
  }

  private static BackendDescription description(String service, int slots) throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), probe.getLocalPort());
      return new BackendDescription("i-" + service, service, address, "zone-a", slots);
    }
  }

  private static Request.Builder request(StandInServer server) {
    return new Request.Builder()
        .url("http://" + server.description().addressText() + "/chat/ask")
        .header("X-Attempt-Id", "a-1")
        .header("X-Target-Instance", server.description().id())
        .post(RequestBody.create("why", null));
  }

  private Response send(Request.Builder request) throws IOException {
    return client.newCall(request.build()).execute();
  }

  private Response get(StandInServer server, String path) throws IOException {
    Request request =
        new Request.Builder().url("http://" + server.description().addressText() + path).build();
    return client.newCall(request).execute();
  }

  private static String ids(Response response) throws IOException {
    StringBuilder ids = new StringBuilder();
    for (String line : response.body().string().split("\n", -1)) {
      if (line.startsWith("id: ")) {
        ids.append(ids.length() == 0 ? "" : " ").append(line.substring(4));
      }
    }
    return ids.toString();
  }
}
