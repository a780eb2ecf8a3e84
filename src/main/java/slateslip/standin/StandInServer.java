package slateslip.standin;

import io.javalin.Javalin;
import io.javalin.http.Context;
import jakarta.servlet.http.HttpServletResponse;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import slateslip.routing.RouterInput.BackendLoad;

/**
 * Base class of the stand-in backends. Sets the common response headers, checks the target instance
 * of a request and responds to health checks.
 */
public abstract class StandInServer implements AutoCloseable {
  protected static final String ATTEMPT_ID = "X-Attempt-Id";
  static final String NOT_EXECUTED = "X-Not-Executed";
  static final String STAMP = "X-Response-Stamp";
  static final String LOAD = "X-Backend-Load";

  private static final String TARGET = "X-Target-Instance";
  private static final String INSTANCE = "X-Instance-Id";
  private static final int THREADS = 300;
  private static final int OTHER_INSTANCE = 421;

  private final BackendDescription description;
  private final AtomicLong responses = new AtomicLong();
  private final Javalin server;
  private volatile boolean draining;

  protected StandInServer(BackendDescription description) {
    this.description = description;
    InetSocketAddress address = description.address();
    server =
        Javalin.create(
            config -> {
              config.showJavalinBanner = false;
              config.http.disableCompression();
              QueuedThreadPool threads = new QueuedThreadPool(THREADS, 4);
              threads.setName(description.id());
              threads.setDaemon(true);
              config.jetty.threadPool = threads;
              config.jetty.addConnector(
                  (jetty, http) -> {
                    ServerConnector connector = new ServerConnector(jetty, 1, 1);
                    connector.setHost(address.getHostString());
                    connector.setPort(address.getPort());
                    return connector;
                  });
            });
    server.get("/health", this::health);
    server.get("/report", this::report);
    server.get("/*", this::request);
    server.post("/*", this::request);
    server.put("/*", this::request);
  }

  /** Responds to a request that is addressed to this instance. Called on a thread of the server. */
  protected abstract void serve(Context context);

  protected abstract BackendLoad load();

  /** Responds to a request for the backend's load report. */
  protected abstract void report(Context context);

  protected BackendDescription description() {
    return description;
  }

  /** Binds the address of the backend and starts to accept connections. */
  public void start() {
    server.start();
  }

  /**
   * Marks the backend as draining: health checks fail from now on and responses close their
   * connections, but the backend still serves requests.
   */
  void drain() {
    draining = true;
  }

  boolean draining() {
    return draining;
  }

  /**
   * Sets the status and the headers of the response to a request that is executed, and returns the
   * response.
   */
  protected HttpServletResponse startResponse(Context context, int status) {
    HttpServletResponse response = context.res();
    response.setStatus(status);
    response.setHeader(STAMP, description.id() + "." + responses.incrementAndGet());
    response.setHeader(LOAD, loadText());
    return response;
  }

  /** Rejects a request that has not been executed. */
  protected void reject(Context context, int status, String reason) {
    context.header(NOT_EXECUTED, reason).header(LOAD, loadText()).status(status).result(reason);
  }

  private void request(Context context) {
    String attemptId = context.header(ATTEMPT_ID);
    if (attemptId == null) {
      reject(context, 400, "no " + ATTEMPT_ID);
      return;
    }
    context.header(ATTEMPT_ID, attemptId);
    if (draining) {
      context.header("Connection", "close");
    }
    String target = context.header(TARGET);
    if (target != null && !target.equals(description.id())) {
      reject(context, OTHER_INSTANCE, "this is " + description.id());
      return;
    }
    serve(context);
  }

  private void health(Context context) {
    context.header(INSTANCE, description.id()).header(LOAD, loadText());
    context.status(draining ? 503 : 200).result("");
  }

  private String loadText() {
    BackendLoad load = load();
    return load.running() + "," + load.waiting() + "," + load.slots();
  }

  @Override
  public void close() {
    server.stop();
  }
}
