import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A tenant that was idle uses what it is allowed at once; then all processes are killed and started
 * again, and the tenant goes on at its rate. Rule QUOTA: tokens run in any window of
 * quota_window_s.
 */
final class QuotaRestart {
  private static final int TOKENS = 10_000;
  private static final long RATE = 100_000;
  private static final long BURST = 100_000;
  private static final double WINDOW_SECONDS = 8;
  private static final double PERMITTED = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 190_000;
  private static final String KEY = "3d3zji9n73hh2b9wu3fe";
  private static final long RUN_BURST_MILLIS = 2_500;
  private static final long RUN_STEADY_MILLIS = 14_000;

  private final Fleet fleet;
  private final Record record;

  /** When requests ran. */
  private final List<Double> runs = new ArrayList<>();

  private final AtomicLong ids = new AtomicLong();
  private volatile boolean bursting;
  private volatile boolean steady;

  private QuotaRestart(Fleet fleet, Record record) {
    this.fleet = fleet;
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = Record.COULD_NOT_RUN;
    try (Record record = new Record(Path.of(arguments[1]));
        Fleet fleet = new Fleet(Path.of(arguments[0]), 3, 3)) {
      Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
      result = new QuotaRestart(fleet, record).run(trouble);
      record.say("exit status %d", result);
    }
    System.exit(result);
  }

  private int run(boolean trouble) throws Exception {
    fleet.start();
    for (int number = 1; number <= 3; number++) {
      new Backend(fleet, number, "libro-eventos", Fleet.zone(number), 60, this::runRequest);
    }
    String tenant =
        String.format(
            "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"%s\"],\"unit\":\"tokens\","
                + "\"uncached_tokens\":200,\"rate_per_s\":%d,\"burst\":%d}],\"limits\"",
            KEY, RATE, BURST);
    String first =
        Configurations.whole(1, "")
            .replace("\"public\":true", "\"public\":false")
            .replace("\"limits\"", tenant);
    Http.Message taken = fleet.order("PUT", 0, first, 15_000);
    if (taken == null || taken.status() != 200 || !fleet.awaitReady(15_000)) {
      return Record.COULD_NOT_RUN;
    }
    Thread.sleep(6_000);
    bursting = true;
    for (int client = 0; client < 30; client++) {
      daemon(this::sendBurst);
    }
    Thread.sleep(RUN_BURST_MILLIS);
    bursting = false;
    record.say("burst over: %d requests have run", count());
    if (trouble) {
      killAll();
    }
    steady = true;
    daemon(this::sendSteadily);
    Thread.sleep(RUN_STEADY_MILLIS);
    steady = false;
    return judge();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void runRequest(Backend backend, Http.Message request, OutputStream output)
      throws IOException {
    synchronized (runs) {
      runs.add(record.seconds());
    }
    record.detail("%s has run %s", backend.id, request.header("X-Attempt-Id"));
    Http.write(output, "HTTP/1.1 200 OK", backend.headers(request), "done".getBytes());
  }

  private int count() {
    synchronized (runs) {
      return runs.size();
    }
  }

  private void sendBurst() {
    while (bursting) {
      send();
    }
  }

  /** 95 in 100 of the tenant's rate. */
  private void sendSteadily() {
    while (steady) {
      daemon(this::send);
      pause((long) (1_000.0 * TOKENS / RATE / 0.95));
    }
  }

  private void send() {
    long number = ids.incrementAndGet();
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", "fleet.example");
    headers.put("X-Attempt-Id", "q" + number);
    headers.put("X-Deadline-Ms", "2000");
    headers.put("X-Credential", KEY);
    headers.put("X-Token-Usage", (TOKENS - 100) + ",100");
    Fleet.Machine edge = fleet.edge.get((int) (number % fleet.edge.size()));
    try (Socket socket = Http.connect(edge.front(), 500, 2_500)) {
      Http.write(socket.getOutputStream(), "POST /ledger/e HTTP/1.1", headers, "x".getBytes());
      int status =
          Http.readResponse(new BufferedInputStream(socket.getInputStream())).status();
      record.detail("q%d at %s: %d", number, edge.name, status);
      if (status != 200) {
        pause(200);
      }
    } catch (IOException failed) {
      record.detail("q%d at %s: %s", number, edge.name, failed);
      pause(200);
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void killAll() throws Exception {
    List<Fleet.Machine> all = new ArrayList<>(fleet.control);
    all.addAll(fleet.edge);
    for (Fleet.Machine machine : all) {
      machine.signal("KILL");
    }
    for (Fleet.Machine machine : all) {
      machine.process.waitFor();
      machine.bootstrap = false;
      machine.start();
    }
    record.say("all processes killed and started again");
  }

  private int judge() {
    double worst = 0;
    synchronized (runs) {
      for (double from : runs) {
        long in = runs.stream().filter(at -> at >= from && at < from + WINDOW_SECONDS).count();
        worst = Math.max(worst, (double) in * TOKENS);
      }
    }
    record.say("worst window: %.0f tokens, permitted: %.0f: %.2f", worst, PERMITTED, worst / PERMITTED);
    return worst > PERMITTED ? Record.BROKEN : Record.HELD;
  }
}
