package slateslip.cli;

import dev.failsafe.Failsafe;
import dev.failsafe.FailsafeException;
import dev.failsafe.RetryPolicy;
import dev.failsafe.RetryPolicyBuilder;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;

/**
 * Sends requests to control agents. A request that gets no definite response is retried, unchanged,
 * at the next agent.
 */
final class ControlClient {
  /** HTTP status of a response if no configuration exists yet. */
  static final int NOT_FOUND = 404;

  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int NO_RESPONSE = 0;
  private static final int ATTEMPTS = 12;
  private static final int MAX_DELAY_FACTOR = 8;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(6);
  private static final MediaType JSON = MediaType.get("application/json");

  /**
   * Last response to a request.
   *
   * @param status HTTP status; 0 if no agent responded
   * @param body text of the response, or a description of the failure if no agent responded
   */
  record Reply(int status, String body) {
    boolean isSuccess() {
      return status >= 200 && status < 300;
    }

    /** Returns whether an agent has rejected the request and retrying cannot succeed. */
    boolean isRejection() {
      return status >= 400 && status < FIRST_SERVER_ERROR && !isRetryable();
    }

    boolean isRetryable() {
      return status == NO_RESPONSE
          || status == REQUEST_TIMEOUT
          || status == TOO_MANY_REQUESTS
          || status >= FIRST_SERVER_ERROR;
    }

    String describe() {
      return status == NO_RESPONSE ? "no answer: " + body : "status " + status + ": " + body;
    }
  }

  private final List<String> agents;
  private final RetryPolicy<Reply> retries;
  private final OkHttpClient http =
      new OkHttpClient.Builder()
          .connectTimeout(CONNECT_TIMEOUT)
          .callTimeout(CALL_TIMEOUT)
          .retryOnConnectionFailure(false)
          .build();

  /**
   * Creates a client.
   *
   * @param agents addresses of control agents in the form a.b.c.d:port; at least one
   * @param delay delay before the first retry, which doubles with each retry up to eight times this
   *     value; zero for no delay
   */
  ControlClient(List<String> agents, Duration delay) {
    this.agents = agents;
    RetryPolicyBuilder<Reply> policy =
        RetryPolicy.<Reply>builder()
            .handle(IOException.class)
            .handleResultIf(Reply::isRetryable)
            .withMaxAttempts(ATTEMPTS);
    if (!delay.isZero()) {
      policy.withBackoff(delay, delay.multipliedBy(MAX_DELAY_FACTOR));
    }
    retries = policy.build();
  }

  Reply get(String path) {
    return call(new Request.Builder().get(), path);
  }

  /** Sends a configuration change that is based on a version. */
  Reply send(String method, String path, String baseVersion, byte[] body) {
    RequestBody json = RequestBody.create(body, JSON);
    return call(new Request.Builder().method(method, json).header("If-Match", baseVersion), path);
  }

  private Reply call(Request.Builder request, String path) {
    try {
      return Failsafe.with(retries)
          .get(
              execution -> {
                String agent = agents.get(execution.getAttemptCount() % agents.size());
                return attempt(request.url("http://" + agent + path).build());
              });
    } catch (FailsafeException failure) {
      return new Reply(NO_RESPONSE, String.valueOf(failure.getCause()));
    }
  }

  private Reply attempt(Request request) throws IOException {
    try (Response response = http.newCall(request).execute()) {
      ResponseBody body = response.body();
      return new Reply(response.code(), body.string());
    }
  }
}
