package slateslip.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/** A request with a streamed response of a few events, which shows that a fleet serves requests. */
final class SampleRequest {
  static final String HOST = "fleet.example";
  static final String PATH = "/chat/ask";
  static final String KEY = "sample-key";

  private static final String PROMPT = "Why does the turbine stop?";
  private static final String USAGE = "410,60";
  private static final String PARTS = "5c1e07a2:400,91bd3f06:10";
  private static final int DEADLINE_MILLIS = 20_000;
  private static final int UNAVAILABLE = 503;

  private enum Outcome {
    SERVED,
    NOT_YET,
    FAILED
  }

  private SampleRequest() {}

  /** Returns a shell command that sends the same request with curl. */
  static String curl(String frontUrl) {
    return "curl -N "
        + frontUrl
        + PATH
        + " -H 'Host: "
        + HOST
        + "' -H 'X-Credential: "
        + KEY
        + "' -H 'X-Attempt-Id: 1' -H 'X-Deadline-Ms: "
        + DEADLINE_MILLIS
        + "' -H 'X-Token-Usage: "
        + USAGE
        + "' -H 'X-Prompt-Prefix: "
        + PARTS
        + "' -d '"
        + PROMPT
        + "'";
  }

  /**
   * Sends the request and prints the events as they arrive. Returns whether the response was
   * complete and successful. A data plane can be ready before it has received the first backend of
   * a service. In this case, the data plane responds with status 503, which means that the request
   * was not executed, and the request is sent again with another attempt id.
   */
  static boolean send(String frontUrl, PrintStream out) throws InterruptedException {
    PollTimer timer = new PollTimer(TimeUnit.MILLISECONDS.toSeconds(DEADLINE_MILLIS));
    Outcome outcome = Outcome.NOT_YET;
    while (outcome == Outcome.NOT_YET && timer.awaitNext()) {
      outcome = sendOnce(frontUrl, out);
    }
    if (outcome == Outcome.NOT_YET) {
      out.println("HTTP " + UNAVAILABLE);
    }
    return outcome == Outcome.SERVED;
  }

  private static Outcome sendOnce(String frontUrl, PrintStream out) {
    OkHttpClient client =
        new OkHttpClient.Builder().callTimeout(DEADLINE_MILLIS, TimeUnit.MILLISECONDS).build();
    Request request =
        new Request.Builder()
            .url(frontUrl + PATH)
            .header("Host", HOST)
            .header("X-Credential", KEY)
            .header("X-Attempt-Id", "sample-" + System.nanoTime())
            .header("X-Deadline-Ms", String.valueOf(DEADLINE_MILLIS))
            .header("X-Token-Usage", USAGE)
            .header("X-Prompt-Prefix", PARTS)
            .post(RequestBody.create(PROMPT, null))
            .build();
    try (Response response = client.newCall(request).execute()) {
      if (response.code() == UNAVAILABLE) {
        return Outcome.NOT_YET;
      }
      out.println("HTTP " + response.code());
      BufferedSource source = response.body().source();
      String line = source.readUtf8Line();
      while (line != null) {
        out.println(line);
        line = source.readUtf8Line();
      }
      return response.isSuccessful() ? Outcome.SERVED : Outcome.FAILED;
    } catch (IOException broken) {
      out.println("incomplete response: " + broken.getMessage());
      return Outcome.FAILED;
    } finally {
      client.dispatcher().executorService().shutdown();
      client.connectionPool().evictAll();
    }
  }
}
