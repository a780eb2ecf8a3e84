package slateslip.standin;

import java.io.IOException;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Sends the initial configuration to the control agents until one of them accepts or rejects it.
 */
final class Operator {
  private static final MediaType JSON = MediaType.get("application/json");

  private final OkHttpClient client;
  private final List<String> controlAddresses;
  private final PollTimer timer;

  Operator(OkHttpClient client, List<String> controlAddresses, PollTimer timer) {
    this.client = client;
    this.controlAddresses = controlAddresses;
    this.timer = timer;
  }

  /** Result of sending a configuration. */
  sealed interface Outcome {
    /** A control agent acknowledged the configuration. */
    record Acknowledged() implements Outcome {}

    /**
     * A control agent rejected the configuration, or no control agent acknowledged it before the
     * deadline.
     */
    record Rejected(String reason) implements Outcome {}
  }

  Outcome put(byte[] configuration) throws InterruptedException {
    String last = "no request was sent";
    for (int i = 0; timer.awaitNext(); i++) {
      String address = controlAddresses.get(i % controlAddresses.size());
      Request request =
          new Request.Builder()
              .url("http://" + address + "/config")
              .header("If-Match", "0")
              .put(RequestBody.create(configuration, JSON))
              .build();
      try (Response response = client.newCall(request).execute()) {
        last = response.code() + " " + response.body().string();
        if (response.isSuccessful()) {
          return new Outcome.Acknowledged();
        }
        if (response.code() == 400 || response.code() == 412) {
          return new Outcome.Rejected(last);
        }
      } catch (IOException unreachable) {
        last = address + ": " + unreachable.getMessage();
      }
    }
    return new Outcome.Rejected(last);
  }
}
