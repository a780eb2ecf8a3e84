package slateslip.standin;

import io.avaje.json.mapper.JsonMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Registers a backend with the control agents by periodic heartbeats, and removes the registration
 * when closed.
 */
public final class Heartbeats implements AutoCloseable {
  private static final MediaType JSON = MediaType.get("application/json");

  private final OkHttpClient client;
  private final StandInServer server;
  private final List<String> controlAddresses;
  private final long periodMillis;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(task -> RealTimeEngine.daemon(task, "heartbeats"));
  private int agentIndex;
  private long sequence;

  /**
   * Creates a sender that does not send heartbeats until {@link #start} is called. The period is in
   * milliseconds.
   */
  public Heartbeats(
      OkHttpClient client, StandInServer server, List<String> controlAddresses, long periodMillis) {
    this.client = client;
    this.server = server;
    this.controlAddresses = controlAddresses;
    this.periodMillis = periodMillis;
  }

  /** Starts to send heartbeats. The first heartbeat is sent immediately. */
  public void start() {
    thread.scheduleAtFixedRate(this::sendHeartbeat, 0, periodMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends one heartbeat. If a control agent does not acknowledge the heartbeat, the next agent is
   * tried, until each agent has been tried once.
   */
  private void sendHeartbeat() {
    for (int i = 0; i < controlAddresses.size(); i++) {
      if (isSuccessful(request().put(RequestBody.create(body(), JSON)).build())) {
        return;
      }
      agentIndex++;
    }
  }

  private Request.Builder request() {
    String address = controlAddresses.get(agentIndex % controlAddresses.size());
    return new Request.Builder()
        .url("http://" + address + "/instances/" + server.description().id());
  }

  private boolean isSuccessful(Request request) {
    try (Response response = client.newCall(request).execute()) {
      return response.isSuccessful();
    } catch (IOException unreachable) {
      return false;
    }
  }

  private String body() {
    BackendDescription description = server.description();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("service", description.service());
    fields.put("address", description.addressText());
    fields.put("zone", description.zone());
    fields.put("version", "stand-in");
    fields.put("slots", description.slots());
    fields.put("state", server.draining() ? "draining" : "ready");
    fields.put("cold_left_ms", 0);
    fields.put("seq", ++sequence);
    return JsonMapper.builder().build().toJson(fields);
  }

  /**
   * Stops the heartbeats, marks the backend as draining and sends one request to remove its
   * registration. A failure of this request is ignored.
   */
  @Override
  public void close() {
    thread.shutdownNow();
    server.drain();
    isSuccessful(request().delete().build());
  }
}
