import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound backend of one service: registers by heartbeats, answers its health path, and runs each
 * request whole. Subclasses change how one request is answered.
 */
class Backend implements AutoCloseable {
  /** A request as the backend got it. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String id() {
      return header("X-Attempt-Id");
    }
  }

  /** One run of a request, with the time at which it began. */
  record Run(String id, String backend, double seconds, int bodyBytes, String tenant) {}

  final String id = "i-" + UUID.randomUUID().toString().substring(0, 8);
  final String service;
  final String ip;
  final String zone;
  final int port;
  final int slots;
  final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
  final Record record;
  volatile boolean draining;
  volatile boolean closed;
  volatile long workMillis = 40;
  private final ServerSocket listener;
  private final AtomicLong sequence = new AtomicLong();
  private final java.util.Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  Backend(Record record, String service, String ip, String zone, int slots) throws IOException {
    this.record = record;
    this.service = service;
    this.ip = ip;
    this.zone = zone;
    this.slots = slots;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
    port = listener.getLocalPort();
  }

  void start(List<String> agents) {
    daemon("accept-" + id, this::accept);
    daemon("heartbeat-" + id, () -> heartbeats(agents));
  }

  static void daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 128 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemon("serve-" + id, () -> serve(socket));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 16 * 1024);
      OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 16 * 1024);
      while (!closed) {
        Request request = read(in);
        if (request == null) {
          return;
        }
        if (!answer(request, socket, out)) {
          return;
        }
      }
    } catch (IOException | InterruptedException ended) {
      // the connection has ended
    } finally {
      sockets.remove(socket);
    }
  }

  /** Answers one request. Returns whether the connection stays open. */
  boolean answer(Request request, Socket socket, OutputStream out)
      throws IOException, InterruptedException {
    if (request.target().equals("/health")) {
      write(out, draining ? "503 Service Unavailable" : "200 OK", "X-Instance-Id: " + id, "ok");
      return true;
    }
    if (request.target().equals("/report")) {
      write(out, "200 OK", "Content-Type: application/json", "{}");
      return true;
    }
    String target = request.header("X-Target-Instance");
    if (!target.isEmpty() && !target.equals(id)) {
      write(
          out,
          "421 Misdirected Request",
          "X-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\nX-Attempt-Id: " + request.id(),
          "");
      return true;
    }
    ran(request);
    Thread.sleep(workMillis);
    success(request, out, "done " + request.id());
    return true;
  }

  void ran(Request request) {
    runs.add(
        new Run(
            request.id(), id, record.seconds(), request.body().length, request.header("X-Tenant")));
  }

  void success(Request request, OutputStream out, String body) throws IOException {
    write(
        out,
        "200 OK",
        "X-Attempt-Id: " + request.id() + "\r\nX-Response-Stamp: " + id + "." + request.id(),
        body);
  }

  static void write(OutputStream out, String status, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + status
            + "\r\n"
            + headers
            + (headers.isEmpty() ? "" : "\r\n")
            + "Content-Length: "
            + bytes.length
            + "\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.UTF_8));
    out.write(bytes);
    out.flush();
  }

  static Request read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null || line.isEmpty()) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = new TreeMap<>();
    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      return null;
    }
    return new Request(words[0], words[1], headers, body);
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return bytes.toString(StandardCharsets.UTF_8).replace("\r", "");
      }
      bytes.write(next);
    }
    return null;
  }

  private void heartbeats(List<String> agents) {
    HttpClient client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(900))
            .build();
    int agent = Math.floorMod(id.hashCode(), agents.size());
    while (!closed) {
      for (int i = 0; i < agents.size() && !beat(client, agents.get(agent)); i++) {
        agent = (agent + 1) % agents.size();
      }
      try {
        Thread.sleep(1_200);
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  private boolean beat(HttpClient client, String agent) {
    String body =
        String.format(
            Locale.ROOT,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                + "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%d}",
            service,
            ip,
            port,
            zone,
            slots,
            draining ? "draining" : "ready",
            sequence.incrementAndGet());
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + agent + "/instances/" + id))
            .timeout(Duration.ofSeconds(1))
            .header("Content-Type", "application/json")
            .PUT(HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException failed) {
      return false;
    } catch (InterruptedException ended) {
      return true;
    }
  }

  /** Ends the backend as a crash does: all its connections are closed. */
  void crash() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    crash();
  }
}
