package slateslip.standin;

import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;
import okio.BufferedSource;
import slateslip.eventloop.WakeUpCause;

/**
 * Sends the kinds of requests that a data plane serves in production: streams, plain requests,
 * rejected requests, streams that the client abandons, and readiness and metrics requests.
 */
final class FleetTraffic {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final String LEDGER_PATH = "/ledger/entry";
  private static final String UNKNOWN_PATH = "/nowhere/";
  private static final int DEADLINE_MILLIS = 5_000;
  private static final int PROMPTS = 8;
  private static final int STREAMS_IN_MIX = 4;
  private static final String TURNS_METRIC = "slateslip_dataplane_event_loop_turns_";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAUTHORIZED = 401;

  private final FleetAddresses addresses;
  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(DEADLINE_MILLIS, TimeUnit.MILLISECONDS).build();
  private final AtomicLong attempts = new AtomicLong();

  FleetTraffic(FleetAddresses addresses) {
    this.addresses = addresses;
  }

  /**
   * Sends one stream request and one plain request per round. Returns how many responses had status
   * 200.
   */
  int sendRounds(int count) throws IOException {
    int successful = 0;
    for (int round = 0; round < count; round++) {
      successful += countIfStatus(chatRequest(round), OK);
      successful += countIfStatus(ledgerRequest(), OK);
    }
    return successful;
  }

  /** Returns a sender that sends the same kinds of requests at a constant rate. */
  PacedTraffic pacedTraffic() {
    return new PacedTraffic(client, this);
  }

  /**
   * Returns the request with this sequence number of a mix in which three of four requests are
   * streams.
   */
  Request mixedRequest(int number) {
    return number % STREAMS_IN_MIX == 0 ? ledgerRequest() : chatRequest(number);
  }

  /**
   * Returns the number of event loop iterations of the first data plane since its start, by cause.
   * The number is 0 for a cause that the metrics do not contain.
   */
  Map<WakeUpCause, Long> eventLoopTurns() throws IOException {
    String url = addresses.readyUrl(0).replace("/ready", "/metrics");
    Map<WakeUpCause, Long> turns = new EnumMap<>(WakeUpCause.class);
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      String metrics = response.body().string();
      for (WakeUpCause cause : WakeUpCause.values()) {
        turns.put(cause, value(metrics, TURNS_METRIC + cause.label() + "_total "));
      }
    }
    return turns;
  }

  private static long value(String metrics, String name) {
    for (String line : metrics.split("\n", -1)) {
      if (line.startsWith(name)) {
        return Long.parseLong(line.substring(name.length()));
      }
    }
    return 0;
  }

  /**
   * Sends one request of each less common kind: an unknown path, a missing credential, a chunked
   * body, an abandoned stream, and readiness and metrics requests.
   */
  void sendExceptionalRequests() throws IOException {
    countIfStatus(request(UNKNOWN_PATH).get().build(), NOT_FOUND);
    countIfStatus(
        request(SampleRequest.PATH).removeHeader("X-Credential").get().build(), UNAUTHORIZED);
    countIfStatus(chunkedRequest(), OK);
    abandonStream();
    for (String path : List.of("/ready", "/metrics")) {
      String url = addresses.readyUrl(0).replace("/ready", path);
      countIfStatus(new Request.Builder().url(url).build(), OK);
    }
  }

  /**
   * Reads the configuration from the first control agent and adds a route to it, once for each of
   * the given number of versions.
   */
  void changeConfiguration(int versions) throws IOException {
    for (int version = 2; version < versions + 2; version++) {
      String url = "http://" + addresses.controlAddresses().get(0) + "/config";
      countIfStatus(new Request.Builder().url(url).build(), OK);
      String patch =
          "{\"version\":%d,\"upsert\":{\"routes\":[{\"name\":\"extra-%d\","
                  .formatted(version, version)
              + "\"hostname\":\"extra.example\",\"path_prefix\":\"/%d/\",".formatted(version)
              + "\"kind\":\"idempotent\",\"timeout_ms\":5000,\"target_latency_ms\":200,"
              + "\"priority\":1,\"service\":\"ledger\",\"max_attempts\":2,\"public\":true}]}}";
      countIfStatus(
          new Request.Builder()
              .url(url)
              .header("If-Match", String.valueOf(version - 1))
              .patch(RequestBody.create(patch, JSON))
              .build(),
          OK);
    }
  }

  private Request chatRequest(int round) {
    int prompt = round % PROMPTS;
    return request(SampleRequest.PATH)
        .header("X-Token-Usage", "410,60")
        .header("X-Prompt-Prefix", "5c1e07a%d:400,91bd3f%02x:10".formatted(prompt, round))
        .post(RequestBody.create("Why does the turbine stop?", null))
        .build();
  }

  private Request ledgerRequest() {
    return request(LEDGER_PATH).post(RequestBody.create("{\"alarm\":1}", JSON)).build();
  }

  private Request chunkedRequest() {
    return request(LEDGER_PATH)
        .post(
            new RequestBody() {
              @Override
              public MediaType contentType() {
                return JSON;
              }

              @Override
              public void writeTo(BufferedSink sink) throws IOException {
                sink.writeUtf8("{}");
              }
            })
        .build();
  }

  /** Sends a stream request and closes its connection after the first line of the response. */
  private void abandonStream() throws IOException {
    try (Response response = client.newCall(chatRequest(0)).execute()) {
      BufferedSource source = response.body().source();
      source.readUtf8Line();
    }
    client.connectionPool().evictAll();
  }

  private Request.Builder request(String path) {
    return new Request.Builder()
        .url(addresses.frontUrl(0) + path)
        .header("Host", SampleRequest.HOST)
        .header("X-Credential", SampleRequest.KEY)
        .header("X-Attempt-Id", "traffic-" + attempts.incrementAndGet())
        .header("X-Deadline-Ms", String.valueOf(DEADLINE_MILLIS));
  }

  private int countIfStatus(Request request, int status) throws IOException {
    try (Response response = client.newCall(request).execute()) {
      response.body().bytes();
      return response.code() == status ? 1 : 0;
    }
  }

  void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
