import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/** A backend as PROTOCOL.md has it: registers, tells its health, runs requests that are its own. */
final class Backend implements AutoCloseable {
  /** Runs a request that is for this backend, and answers it. */
  interface Handler {
    void run(Backend backend, Http.Message request, OutputStream output) throws IOException;
  }

  final String id = "i-" + UUID.randomUUID().toString().substring(0, 10);
  final String address;
  private final String service;
  private final String zone;
  private final int slots;
  private final List<String> agents;
  private final Handler handler;
  private final ServerSocket server = new ServerSocket();
  private final AtomicLong stamps = new AtomicLong();
  private long seq;
  volatile String state = "ready";
  private volatile boolean closed;

  Backend(Fleet fleet, int number, String service, String zone, int slots, Handler handler)
      throws IOException {
    this(
        fleet.controlAddresses(),
        fleet.backendIp(number) + ":" + fleet.backendPort,
        service,
        zone,
        slots,
        handler);
  }

  Backend(
      List<String> agents,
      String address,
      String service,
      String zone,
      int slots,
      Handler handler)
      throws IOException {
    this.agents = agents;
    this.address = address;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.handler = handler;
    if (handler != null) {
      server.setReuseAddress(true);
      server.bind(Http.address(address), 1024);
      daemon(this::accept);
    }
    daemon(this::beat);
  }

  /** One that registers, while its owner listens at the address. */
  static Backend registeredOnly(
      List<String> agents, String address, String service, String zone, int slots) {
    try {
      return new Backend(agents, address, service, zone, slots, null);
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        daemon(() -> serve(socket));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      OutputStream output = socket.getOutputStream();
      for (Http.Message request = Http.readRequest(input);
          request != null && request.complete;
          request = Http.readRequest(input)) {
        answer(request, output);
      }
    } catch (IOException left) {
      // the caller has closed the connection
    }
  }

  private void answer(Http.Message request, OutputStream output) throws IOException {
    String path = request.firstLine.split(" ")[1];
    if (path.equals("/health")) {
      Http.write(output, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
      return;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Attempt-Id", request.header("X-Attempt-Id"));
    String target = request.header("X-Target-Instance");
    if (!target.isEmpty() && !target.equals(id)) {
      headers.put("X-Not-Executed", "other instance");
      Http.write(output, "HTTP/1.1 421 Misdirected", headers, new byte[0]);
      return;
    }
    handler.run(this, request, output);
  }

  /** The headers of an answer to a request that ran. */
  Map<String, String> headers(Http.Message request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Attempt-Id", request.header("X-Attempt-Id"));
    headers.put("X-Response-Stamp", id + "." + stamps.incrementAndGet());
    headers.put("X-Backend-Load", "1,0," + slots);
    return headers;
  }

  private void beat() {
    int agent = 0;
    while (!closed) {
      if (!call(agents.get(agent % agents.size()), "PUT", registration())) {
        agent++;
        pause(100);
      } else {
        pause(1_200);
      }
    }
  }

  String registration() {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
            + "\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%d}",
        service, address, zone, slots, state, ++seq);
  }

  boolean call(String agent, String method, String body) {
    try {
      Http.Message answer =
          Http.call(
              agent,
              method + " /instances/" + id + " HTTP/1.1",
              Map.of("Host", agent, "Content-Type", "application/json"),
              body.getBytes(StandardCharsets.UTF_8),
              1_000);
      return answer.status() / 100 == 2;
    } catch (IOException | RuntimeException failed) {
      return false;
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      server.close();
    } catch (IOException ignored) {
      // it has ended
    }
  }
}
