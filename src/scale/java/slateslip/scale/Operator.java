package slateslip.scale;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** Sends configurations to the agents in turn until one acknowledges. */
final class Operator {
  private static final int ATTEMPTS = 600;
  private static final long RETRY_DELAY_MILLIS = 100;
  private static final Duration TIMEOUT = Duration.ofSeconds(4);

  private final HttpClient client = HttpClient.newHttpClient();
  private final ControlCluster cluster;

  Operator(ControlCluster cluster) {
    this.cluster = cluster;
  }

  /** The first configuration, with this many routes. */
  void put(long version, int routes) throws IOException, InterruptedException {
    StringBuilder body = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
    for (int route = 0; route < routes; route++) {
      body.append(route == 0 ? "" : ",").append(route("r" + route, 500));
    }
    body.append("],\"services\":[{\"name\":\"s\",\"health_path\":\"/health\",\"max_conns\":9}]}");
    send("PUT", 0, body.toString());
  }

  /** The next configuration: one route has another time-out. */
  void patch(long from, long version) throws IOException, InterruptedException {
    String route = route("r0", 500 + version % 100);
    send("PATCH", from, "{\"version\":" + version + ",\"upsert\":{\"routes\":[" + route + "]}}");
  }

  private static String route(String name, long timeoutMillis) {
    return "{\"name\":\""
        + name
        + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/"
        + name
        + "/\",\"kind\":\"idempotent\",\"timeout_ms\":"
        + timeoutMillis
        + ",\"target_latency_ms\":100,\"priority\":0,\"service\":\"s\",\"max_attempts\":1,"
        + "\"public\":true}";
  }

  private void send(String method, long from, String body)
      throws IOException, InterruptedException {
    for (int tried = 0; tried < ATTEMPTS; tried++) {
      String agent = cluster.controlAddress(tried % cluster.size());
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + agent + "/config"))
              .timeout(TIMEOUT)
              .header("If-Match", Long.toString(from))
              .method(method, BodyPublishers.ofString(body))
              .build();
      if (status(request) == 200) {
        return;
      }
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    throw new IOException(method + " from version " + from + " was not acknowledged");
  }

  /** The status of the response; 0 without one. */
  private int status(HttpRequest request) throws InterruptedException {
    try {
      return client.send(request, BodyHandlers.discarding()).statusCode();
    } catch (IOException unanswered) {
      return 0;
    }
  }
}
