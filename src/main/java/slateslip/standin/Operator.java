package slateslip.standin;

import java.io.IOException;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Sends the operator's first configuration until a control agent takes it. */
final class Operator {
  private static final MediaType JSON = MediaType.get("application/json");

  private final OkHttpClient client;
  private final List<String> controlAddresses;
  private final Delay delay;

  Operator(OkHttpClient client, List<String> controlAddresses, Delay delay) {
    this.client = client;
    this.controlAddresses = controlAddresses;
    this.delay = delay;
  }

  /** What came of a configuration. */
  sealed interface Outcome {
    /** It was acknowledged. */
    record Taken() implements Outcome {}

    /** It is invalid, or none of the agents took it in time. */
    record Refused(String reason) implements Outcome {}
  }

  Outcome put(byte[] configuration) throws InterruptedException {
    String last = "no agent was asked";
    for (int i = 0; delay.another(); i++) {
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
          return new Outcome.Taken();
        }
        if (response.code() == 400 || response.code() == 412) {
          return new Outcome.Refused(last);
        }
      } catch (IOException unreachable) {
        last = address + ": " + unreachable.getMessage();
      }
    }
    return new Outcome.Refused(last);
  }
}
