package slateslip.controlplane;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import slateslip.controlplane.agent.ControlAgent;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;

/**
 * The HTTP interface of a control agent: the operator's configuration, heartbeats of backends,
 * status and metrics. The HTTP threads only read requests and write responses; all decisions are
 * made on the event loop.
 */
final class ControlApi {
  private static final int MAX_THREADS = 10;
  private static final int MIN_THREADS = 3;
  private static final int THREAD_IDLE_MILLIS = 30_000;
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int MAX_INSTANCE_BYTES = 64 * 1024;
  private static final int IDLE_MILLIS = 15_000;

  private static final int BACKLOG = 1024;
  private static final int UNAVAILABLE = 503;
  private static final int BAD_REQUEST = 400;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_LARGE = 413;
  private static final String JSON = "application/json";
  private static final byte[] ACKNOWLEDGED = "{}".getBytes(StandardCharsets.UTF_8);

  private final ControlAgent agent;
  private final Executor eventLoop;
  private final Supplier<String> status;
  private final Supplier<String> metrics;
  private final Javalin server;

  /**
   * Creates an interface that does not listen before {@link #start}.
   *
   * @param address address to listen on
   * @param eventLoop runs tasks on the agent's event loop
   * @param status returns the status as JSON; called on the event loop
   * @param metrics returns the metrics in the Prometheus text format; called on the event loop
   */
  ControlApi(
      InetSocketAddress address,
      ControlAgent agent,
      Executor eventLoop,
      Supplier<String> status,
      Supplier<String> metrics) {
    this.agent = agent;
    this.eventLoop = eventLoop;
    this.status = status;
    this.metrics = metrics;
    server = Javalin.create(config -> configure(config, address));
    server.put("/config", context -> handleChange(context, OperatorRequest.Method.PUT));
    server.patch("/config", context -> handleChange(context, OperatorRequest.Method.PATCH));
    server.get("/config", this::readConfiguration);
    server.put("/instances/{id}", this::heartbeat);
    server.delete("/instances/{id}", this::deregister);
    server.get("/status", context -> sendText(context, JSON, this.status));
    server.get("/metrics", context -> sendText(context, "text/plain; version=0.0.4", this.metrics));
  }

  private static void configure(JavalinConfig config, InetSocketAddress address) {
    config.showJavalinBanner = false;
    config.http.disableCompression();
    config.http.maxRequestSize = MAX_BODY_BYTES;
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS, THREAD_IDLE_MILLIS);
    threads.setName("http");
    config.jetty.threadPool = threads;
    config.jetty.modifyHttpConfiguration(ControlApi::configureHttp);
    config.jetty.addConnector((jetty, http) -> connector(jetty, http, address));
  }

  private static void configureHttp(HttpConfiguration http) {
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
  }

  private static Connector connector(
      Server jetty, HttpConfiguration http, InetSocketAddress address) {
    ServerConnector connector = new ServerConnector(jetty, 1, 1, new HttpConnectionFactory(http));
    connector.setHost(address.getHostString());
    connector.setPort(address.getPort());
    connector.setIdleTimeout(IDLE_MILLIS);
    connector.setAcceptQueueSize(BACKLOG);
    connector.setReuseAddress(true);
    return connector;
  }

  /** Starts to listen. Throws a runtime exception if the address cannot be used. */
  void start() {
    server.start();
  }

  /** Stops listening and ends the HTTP threads. */
  void stop() {
    server.stop();
  }

  private void handleChange(Context context, OperatorRequest.Method method) {
    Long base = IfMatchHeader.version(context.header("If-Match"));
    if (base == null) {
      sendError(context, BAD_REQUEST, "If-Match is not the version that the change builds on");
      return;
    }
    withBody(
        context, MAX_BODY_BYTES, body -> submit(context, new OperatorRequest(method, base, body)));
  }

  private void readConfiguration(Context context) {
    OperatorRequest request = new OperatorRequest(OperatorRequest.Method.GET, 0, new byte[0]);
    context.future(() -> submit(context, request));
  }

  private CompletableFuture<?> submit(Context context, OperatorRequest request) {
    return submitToLoop(
        onComplete -> agent.handleOperatorRequest(request, onComplete),
        (OperatorResponse response) -> {
          if (response.status() == OperatorResponse.OK) {
            context.contentType(JSON).result(response.body());
          } else {
            sendError(
                context, response.status(), new String(response.body(), StandardCharsets.UTF_8));
          }
        });
  }

  private void heartbeat(Context context) {
    String id = context.pathParam("id");
    withBody(
        context, MAX_INSTANCE_BYTES, body -> heartbeat(context, InstanceParser.parse(id, body)));
  }

  private CompletableFuture<?> heartbeat(Context context, InstanceParseResult parsed) {
    if (parsed instanceof InstanceParseResult.Valid valid) {
      return submitToLoop(
          onComplete -> agent.backendHeartbeat(valid.session(), onComplete),
          (Boolean acknowledged) -> acknowledge(context, acknowledged));
    }
    sendError(context, BAD_REQUEST, ((InstanceParseResult.Invalid) parsed).message());
    return CompletableFuture.completedFuture(null);
  }

  private void deregister(Context context) {
    String id = context.pathParam("id");
    context.future(
        () ->
            submitToLoop(
                onComplete -> agent.deregister(id, onComplete),
                (Boolean acknowledged) -> acknowledge(context, acknowledged)));
  }

  private static void acknowledge(Context context, boolean acknowledged) {
    if (acknowledged) {
      context.contentType(JSON).result(ACKNOWLEDGED);
    } else {
      sendError(context, UNAVAILABLE, "this agent does not reach the others");
    }
  }

  private void sendText(Context context, String type, Supplier<String> source) {
    context.future(
        () ->
            submitToLoop(
                (Consumer<String> onComplete) -> onComplete.accept(source.get()),
                (String text) -> context.contentType(type).result(text)));
  }

  /**
   * Reads the body of a request without blocking a thread, then calls {@code next} with the body.
   * Responds with an error if the body is too large or incomplete.
   */
  private static void withBody(
      Context context, int limit, Function<byte[], CompletableFuture<?>> next) {
    context.future(
        () ->
            AsyncBodyReader.read(context.req(), limit)
                .handle((body, failure) -> handleBody(context, body, failure, next))
                .thenCompose(completed -> completed));
  }

  private static CompletableFuture<?> handleBody(
      Context context,
      byte[] body,
      Throwable failure,
      Function<byte[], CompletableFuture<?>> next) {
    if (failure == null) {
      return next.apply(body);
    }
    if (failure instanceof AsyncBodyReader.BodyTooLargeException) {
      context.header("Connection", "close");
      sendError(context, TOO_LARGE, failure.getMessage());
    } else {
      // Another agent may already have accepted the same request, so the status must not mean that
      // the request was rejected.
      context.header("Connection", "close");
      sendError(context, REQUEST_TIMEOUT, "the body did not come whole");
    }
    return CompletableFuture.completedFuture(null);
  }

  /**
   * Runs a task on the event loop and calls {@code write} with the result, without blocking a
   * thread.
   */
  private <T> CompletableFuture<?> submitToLoop(Consumer<Consumer<T>> task, Consumer<T> write) {
    CompletableFuture<T> completion = new CompletableFuture<>();
    eventLoop.execute(() -> task.accept(completion::complete));
    return completion.thenAccept(write);
  }

  private static void sendError(Context context, int status, String message) {
    context.status(status).contentType(JSON).result("{\"error\":" + Json.quoted(message) + "}");
  }
}
