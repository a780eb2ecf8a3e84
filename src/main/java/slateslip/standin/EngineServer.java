package slateslip.standin;

import io.avaje.json.mapper.JsonMapper;
import io.javalin.http.Context;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.server.HttpConnection;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.simulation.engine.EngineOutput.Reason;
import slateslip.simulation.engine.EngineParameters;
import slateslip.simulation.engine.EngineRequest;

/**
 * Stand-in for a model backend that streams the events of a {@link RealTimeEngine} to its clients.
 */
final class EngineServer extends StandInServer {
  private static final int DEFAULT_OUTPUT_TOKENS = 60;
  private static final long DEFAULT_DEADLINE_MILLIS = 30_000;
  private static final int HEX_RADIX = 16;
  private static final String[] WORDS = {
    "the", "blade", "pitch", "sensor", "reads", "high", "so", "check", "its", "cable", "first"
  };

  private final RealTimeEngine engine;
  private final AtomicLong requests = new AtomicLong();

  EngineServer(BackendDescription description, EngineParameters parameters) {
    super(description);
    engine = new RealTimeEngine(parameters);
  }

  @Override
  protected BackendLoad load() {
    return engine.load();
  }

  @Override
  protected void report(Context context) {
    BackendLoad load = engine.load();
    Map<String, Object> model = new LinkedHashMap<>();
    model.put("name", "m");
    model.put("version", 1);
    model.put("adapters", List.of());
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("stage", "prefill_decode");
    fields.put("models", List.of(model));
    fields.put("utilization", false);
    fields.put("seq", 0);
    fields.put("queued", load.waiting());
    fields.put("running", load.running());
    fields.put("kv_used", engine.lockedTokens());
    fields.put("kv_total", engine.parameters().memoryTokens());
    fields.put("sessions", 0);
    context.contentType("application/json").result(JsonMapper.builder().build().toJson(fields));
  }

  @Override
  protected void serve(Context context) {
    long id = requests.incrementAndGet();
    BlockingQueue<EngineUpdate> updates = new LinkedBlockingQueue<>();
    engine.submit(engineRequest(id, context), new QueueingListener(updates));
    try {
      respond(context, updates);
    } catch (IOException gone) {
      engine.cancel(id); // the client has closed the connection
    } catch (InterruptedException stopped) {
      engine.cancel(id);
      Thread.currentThread().interrupt();
    }
  }

  private void respond(Context context, BlockingQueue<EngineUpdate> updates)
      throws IOException, InterruptedException {
    EngineUpdate first = updates.take();
    if (first.kind() == EngineUpdate.Kind.REJECTED) {
      reject(context, 503, "full");
      return;
    }
    if (first.kind() == EngineUpdate.Kind.DEADLINE_EXCEEDED) {
      startResponse(context, 504);
      return;
    }
    HttpServletResponse response = startResponse(context, 200);
    response.setContentType("text/event-stream");
    response.setHeader("Versions", "1");
    OutputStream output = response.getOutputStream();
    EngineUpdate next = first;
    while (next.kind() == EngineUpdate.Kind.EVENT) {
      output.write(eventText(next.eventId()));
      output.flush();
      if (next.last()) {
        return;
      }
      next = updates.take();
    }
    closeConnection();
  }

  /**
   * Closes the connection so that the client does not mistake the truncated stream for a complete
   * one.
   */
  private static void closeConnection() {
    HttpConnection.getCurrentConnection().getEndPoint().close();
  }

  private byte[] eventText(long id) {
    StringBuilder text = new StringBuilder("id: ").append(id).append("\ndata:");
    int tokens = engine.parameters().tokensPerEvent();
    for (long token = (id - 1) * tokens; token < id * tokens; token++) {
      text.append(' ').append(WORDS[(int) (token % WORDS.length)]);
    }
    return text.append("\n\n").toString().getBytes(StandardCharsets.UTF_8);
  }

  private EngineRequest engineRequest(long id, Context context) {
    long deadlineMillis = number(context.header("X-Deadline-Ms"), DEFAULT_DEADLINE_MILLIS);
    String usage = context.header("X-Token-Usage");
    long outputTokens =
        usage == null ? DEFAULT_OUTPUT_TOKENS : number(usage.replaceFirst(".*,", ""), 1);
    return new EngineRequest(
        id,
        prompt(id, context),
        (int) Math.max(1, outputTokens),
        (int) number(context.header("Priority"), EngineRequest.DEFAULT_PRIORITY),
        Math.max(0, number(context.header("Last-Event-Id"), 0)),
        RealTimeEngine.nowMicros() + deadlineMillis * 1_000);
  }

  /**
   * Returns the prompt parts of the X-Prompt-Prefix header. Without this header, returns a single
   * unshared part with a quarter of the body's byte count as its number of tokens.
   */
  private static List<PromptPart> prompt(long id, Context context) {
    String header = context.header("X-Prompt-Prefix");
    if (header == null || header.isBlank()) {
      return List.of(new PromptPart(-id, Math.max(1, context.bodyAsBytes().length / 4)));
    }
    List<PromptPart> parts = new ArrayList<>();
    for (String part : header.split(",", -1)) {
      int colon = part.indexOf(':');
      long partId = Long.parseUnsignedLong(part.substring(0, colon).trim(), HEX_RADIX);
      parts.add(new PromptPart(partId, Integer.parseInt(part.substring(colon + 1).trim())));
    }
    return parts;
  }

  private static long number(String text, long defaultValue) {
    try {
      return text == null ? defaultValue : Long.parseLong(text.trim());
    } catch (NumberFormatException unreadable) {
      return defaultValue;
    }
  }

  @Override
  public void close() {
    super.close();
    engine.close();
  }

  /** What the engine has told of one request. */
  private record EngineUpdate(Kind kind, long eventId, boolean last) {
    private enum Kind {
      EVENT,
      REJECTED,
      DEADLINE_EXCEEDED
    }
  }

  private record QueueingListener(BlockingQueue<EngineUpdate> updates) implements EngineListener {
    @Override
    public void rejected(Reason reason) {
      updates.add(new EngineUpdate(EngineUpdate.Kind.REJECTED, 0, true));
    }

    @Override
    public void event(long id, boolean last) {
      updates.add(new EngineUpdate(EngineUpdate.Kind.EVENT, id, last));
    }

    @Override
    public void deadlineExceeded() {
      updates.add(new EngineUpdate(EngineUpdate.Kind.DEADLINE_EXCEEDED, 0, true));
    }
  }
}
