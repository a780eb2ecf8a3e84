import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Eight orders with whole configurations are under way at once; those that had no clear answer are
 * sent again. Once they have ended and the core has been left alone for contact_ms and more, the
 * operator asks for the configuration, and sends one small change. Rule CONFIG: the configuration
 * has to come, and not be older than what was acknowledged. Acks: the change is acknowledged.
 */
final class EightOrders {
  private static final int ORDERS = 8;
  private static final int ROUNDS = 8;

  /** No further round is begun after this time. */
  private static final double LAST_ROUND_SECONDS = 45;
  private static final long ORDER_MILLIS = 15_000;
  private static final int BODY_BYTES = 4_180_000;

  /** contact_ms is 3 s; the operator asks for longer than that. */
  private static final long CALM_MILLIS = 10_000;

  private static final long READING_MILLIS = 15_000;

  /** ack_timeout_ms is 4 s. */
  private static final long ACKNOWLEDGING_MILLIS = 15_000;

  private EightOrders() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = Record.COULD_NOT_RUN;
    try (Record record = new Record(Path.of(arguments[1]));
        Fleet fleet = new Fleet(Path.of(arguments[0]), 3, 1)) {
      Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
      result = run(fleet, record, trouble ? ORDERS : 1);
      record.say("exit status %d", result);
    }
    System.exit(result);
  }

  private static int run(Fleet fleet, Record record, int atOnce) throws Exception {
    fleet.start();
    Http.Message first = fleet.order("PUT", 0, Configurations.whole(1, ""), 15_000);
    if (first == null || first.status() != 200 || !fleet.awaitReady(15_000)) {
      record.say("the fleet did not come up");
      return Record.COULD_NOT_RUN;
    }
    String routes = "," + Configurations.routes(0, routesOf(BODY_BYTES));
    long newest = 1;
    for (int round = 0; round < ROUNDS && record.seconds() < LAST_ROUND_SECONDS; round++) {
      newest = Math.max(newest, sendAtOnce(fleet, record, newest, atOnce, routes));
    }
    record.say("newest acknowledged version: %d; no more orders from here on", newest);
    Thread.sleep(CALM_MILLIS);
    long read = readBack(fleet, record);
    for (Fleet.Machine agent : fleet.control) {
      record.say(
          "%s: process runs: %b; OutOfMemoryError in its log: %d; disk thread has ended: %b",
          agent.name,
          agent.process.isAlive(),
          fleet.logLines(agent, "OutOfMemoryError"),
          fleet.logLines(agent, "Exception in thread \"disk\"") > 0);
      record.detail("end of its log:%n%s", fleet.logEnd(agent, 6));
    }
    if (read < 0) {
      record.say("no agent answered a read of the configuration for %d ms", READING_MILLIS);
      return Record.BROKEN;
    }
    if (read < newest) {
      return Record.BROKEN;
    }
    return takesSmallChange(fleet, record, read) ? Record.HELD : Record.BROKEN;
  }

  /** One more valid order, with one route; sent again until there is a clear answer. */
  private static boolean takesSmallChange(Fleet fleet, Record record, long version)
      throws Exception {
    double sent = record.seconds();
    String body = Configurations.patch(version + 20, Configurations.routes(9_999_999, 1));
    Http.Message answer = fleet.order("PATCH", version, body, ACKNOWLEDGING_MILLIS);
    record.say(
        "PATCH of one route on top of version %d, sent at %.3f: %s",
        version, sent, answer == null ? "no clear answer" : answer.status() + " " + answer.text());
    return answer != null;
  }

  private static int routesOf(int bytes) {
    return bytes / Configurations.routes(0, 1).length();
  }

  /** Orders on top of one version, all at once; the version that was acknowledged, or 0. */
  private static long sendAtOnce(
      Fleet fleet, Record record, long base, int atOnce, String routes) throws Exception {
    ExecutorService operators = Executors.newFixedThreadPool(atOnce);
    List<Future<Http.Message>> answers = new ArrayList<>();
    for (int order = 1; order <= atOnce; order++) {
      long version = base + order;
      String body = Configurations.whole(version, routes);
      record.detail("PUT /config If-Match: %d, version %d, %d bytes", base, version, body.length());
      answers.add(operators.submit(() -> fleet.order("PUT", base, body, ORDER_MILLIS)));
    }
    long acknowledged = 0;
    for (int order = 1; order <= atOnce; order++) {
      Http.Message answer = answers.get(order - 1).get();
      String status = answer == null ? "no clear answer" : Integer.toString(answer.status());
      record.say("order of version %d: %s", base + order, status);
      if (answer != null && answer.status() == 200) {
        acknowledged = base + order;
      }
    }
    operators.shutdown();
    return acknowledged;
  }

  /** Asks one agent after the other; the version that was read, or -1 if none came. */
  private static long readBack(Fleet fleet, Record record) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READING_MILLIS);
    for (int call = 0; System.nanoTime() < end; call++) {
      Fleet.Machine agent = fleet.control.get(call % fleet.control.size());
      try {
        Http.Message answer =
            Http.call(
                agent.control(),
                "GET /config HTTP/1.1",
                Map.of("Host", agent.control()),
                new byte[0],
                4_000);
        boolean read = answer.status() == 200 && answer.complete;
        record.detail(
            "GET /config at %s: %d, %s",
            agent.name, answer.status(), read ? answer.body.length + " bytes" : answer.text());
        if (read) {
          long version =
              Long.parseLong(answer.text().replaceAll("(?s)^.\"version\":(\\d+).*", "$1"));
          record.say("read back: version %d from %s", version, agent.name);
          return version;
        }
      } catch (IOException failed) {
        record.detail("GET /config at %s: %s", agent.name, failed);
      }
      Thread.sleep(500);
    }
    return -1;
  }
}
