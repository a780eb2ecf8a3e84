package slateslip.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import slateslip.soak.ConfigurationRecord.Kind;

/** Changes and reads the configuration like an operator, and records the results. */
final class SoakOperator {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final Pattern VERSION = Pattern.compile("\"version\"\\s*:\\s*(\\d+)");
  private static final int MAX_ATTEMPTS = 60;
  private static final int RETRY_DELAY_MILLIS = 150;
  private static final int CONFLICT = 412;

  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(2)).build();
  private final List<String> agents;
  private final LongSupplier clock;
  private final SoakRecords records;
  private final String padding;
  private int next;
  private long baseVersion;
  private long version;
  private boolean withOptionalRoute = true;

  /**
   * Creates an operator.
   *
   * @param padding routes that make each configuration long
   */
  SoakOperator(List<String> agents, LongSupplier clock, SoakRecords records, String padding) {
    this.padding = padding;
    this.agents = agents;
    this.clock = clock;
    this.records = records;
  }

  /**
   * Sends the next configuration until a control agent acknowledges or refuses it, or until the
   * attempts are exhausted. Returns whether the configuration was acknowledged.
   */
  synchronized boolean change(boolean switchOptional) throws InterruptedException {
    version++;
    boolean optional = withOptionalRoute != switchOptional;
    String body = SoakConfiguration.document(version, optional, padding);
    long sentMillis = clock.getAsLong();
    Kind kind = Kind.UNCLEAR;
    for (int i = 0; i < MAX_ATTEMPTS && kind == Kind.UNCLEAR; i++) {
      kind = putOnce(body);
    }
    records.addConfiguration(
        new ConfigurationRecord(sentMillis, clock.getAsLong(), version, body, kind));
    if (kind == Kind.ACKNOWLEDGED) {
      baseVersion = version;
      withOptionalRoute = optional;
    } else {
      readBase();
    }
    return kind == Kind.ACKNOWLEDGED;
  }

  private Kind putOnce(String body) throws InterruptedException {
    Request request =
        new Request.Builder()
            .url("http://" + nextAgent() + "/config")
            .header("If-Match", Long.toString(baseVersion))
            .put(RequestBody.create(body, JSON))
            .build();
    try (Response response = client.newCall(request).execute()) {
      if (response.isSuccessful()) {
        return Kind.ACKNOWLEDGED;
      }
      if (response.code() == CONFLICT) {
        return Kind.REFUSED;
      }
    } catch (IOException unreachable) {
      // the caller retries after the delay below
    }
    TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
    return Kind.UNCLEAR;
  }

  private String nextAgent() {
    next++;
    return agents.get(next % agents.size());
  }

  /**
   * Reads the configuration that is in force after a change that was not acknowledged, as the base
   * of the next change.
   */
  private void readBase() throws InterruptedException {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      ConfigurationRecord read = read(nextAgent());
      if (read != null) {
        baseVersion = read.version();
        withOptionalRoute = read.body().contains(SoakConfiguration.OPTIONAL_ENTRIES);
        return;
      }
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
    }
  }

  /** Reads the configuration once from every control agent. */
  void readAll() {
    agents.forEach(this::read);
  }

  /**
   * Reads the configuration from one control agent and records it. Returns null if the read failed.
   */
  private ConfigurationRecord read(String agent) {
    long sentMillis = clock.getAsLong();
    Request request = new Request.Builder().url("http://" + agent + "/config").build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        return null;
      }
      String body = response.body().string();
      Matcher matcher = VERSION.matcher(body);
      long found = matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
      ConfigurationRecord read =
          new ConfigurationRecord(sentMillis, clock.getAsLong(), found, body, Kind.READ);
      records.addConfiguration(read);
      return read;
    } catch (IOException unreachable) {
      return null;
    }
  }

  /**
   * Reads the configuration from the control agents in turn until a read succeeds or the attempts
   * are exhausted. Returns whether a read succeeded.
   */
  boolean awaitRead() throws InterruptedException {
    for (int i = 0; i < MAX_ATTEMPTS * 2; i++) {
      if (read(nextAgent()) != null) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
    }
    return false;
  }

  OkHttpClient client() {
    return client;
  }

  void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
