import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients that send small requests in turn to the data planes, each on a connection of its own. */
final class Traffic implements AutoCloseable {
  /** One request: when it was sent, and what its client saw. */
  record Sent(double atSeconds, String id, String edge, String result) {}

  private final Fleet fleet;
  private final Record record;
  private final String path;
  private final List<Sent> sent = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean ended;

  /** Ids that a backend has run. */
  final Set<String> ran = ConcurrentHashMap.newKeySet();

  Traffic(Fleet fleet, Record record, String path) {
    this.fleet = fleet;
    this.record = record;
    this.path = path;
  }

  /** A backend of this traffic: notes what it runs, and answers at once. */
  void run(Backend backend, Http.Message request, java.io.OutputStream output) throws IOException {
    ran.add(request.header("X-Attempt-Id"));
    Http.write(output, "HTTP/1.1 200 OK", backend.headers(request), "done".getBytes());
  }

  void start(int clients, long pauseMillis) {
    for (int client = 0; client < clients; client++) {
      int number = client;
      Thread thread = new Thread(() -> send(number, pauseMillis));
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void send(int client, long pauseMillis) {
    for (int i = 0; !ended; i++) {
      Fleet.Machine edge = fleet.edge.get((client + i) % fleet.edge.size());
      String id = String.format("c%d-%d", client, i);
      double at = record.seconds();
      Sent request = new Sent(at, id, edge.name, ask(edge, id));
      synchronized (sent) {
        sent.add(request);
      }
      record.detail(
          "request %s sent at %.3f to %s: %s%s",
          id, at, edge.name, request.result(), ran.contains(id) ? ", ran" : "");
      try {
        Thread.sleep(pauseMillis);
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private String ask(Fleet.Machine edge, String id) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", "fleet.example");
    headers.put("X-Attempt-Id", id);
    headers.put("X-Deadline-Ms", "2000");
    try (Socket socket = Http.connect(edge.front(), 1_000, 2_000)) {
      Http.write(socket.getOutputStream(), "POST " + path + " HTTP/1.1", headers, "x".getBytes());
      Http.Message answer = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
      return Integer.toString(answer.status());
    } catch (IOException failed) {
      return failed.getClass().getSimpleName();
    }
  }

  /** Of the requests sent in this span: how many, and how many got a 200. */
  int[] served(double fromSeconds, double toSeconds) {
    int[] counts = new int[2];
    synchronized (sent) {
      for (Sent request : sent) {
        if (request.atSeconds() >= fromSeconds && request.atSeconds() < toSeconds) {
          counts[0]++;
          counts[1] += request.result().equals("200") ? 1 : 0;
        }
      }
    }
    return counts;
  }

  @Override
  public void close() {
    ended = true;
  }
}
