import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Two operators read the configuration over slow lines while a third one sends a small change.
 * Acks: the change has to be acknowledged within ack_timeout_ms.
 */
final class SlowReaders {
  private static final int CHANGES = 30;
  private static final int ROUTES_A_CHANGE = 400;
  private static final int READERS = 2;
  private static final int READ_BYTES = 5_000;
  private static final long READ_PAUSE_MILLIS = 50;
  private static final long ACK_TIMEOUT_MILLIS = 4_000;
  private static final long READING_MILLIS = 20_000;

  private SlowReaders() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = Record.COULD_NOT_RUN;
    try (Record record = new Record(Path.of(arguments[1]));
        Fleet fleet = new Fleet(Path.of(arguments[0]), 3, 1)) {
      Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
      result = run(fleet, record, trouble ? READERS : 0);
      record.say("exit status %d", result);
    }
    System.exit(result);
  }

  private static int run(Fleet fleet, Record record, int readers) throws Exception {
    fleet.start();
    Http.Message first = fleet.order("PUT", 0, Configurations.whole(1, ""), 15_000);
    if (first == null || first.status() != 200 || !fleet.awaitReady(15_000)) {
      record.say("the fleet did not come up");
      return Record.COULD_NOT_RUN;
    }
    long version = 1;
    for (int change = 0; change < CHANGES; change++) {
      String routes = Configurations.routes((long) change * ROUTES_A_CHANGE, ROUTES_A_CHANGE);
      Http.Message answer =
          fleet.order("PATCH", version, Configurations.patch(version + 1, routes), 10_000);
      if (answer == null || answer.status() != 200) {
        return Record.COULD_NOT_RUN;
      }
      version++;
    }
    record.say("version %d acknowledged", version);
    for (int reader = 0; reader < readers; reader++) {
      int number = reader;
      Thread thread = new Thread(() -> readSlowly(fleet, record, number));
      thread.setDaemon(true);
      thread.start();
      Thread.sleep(2_500); // the agents choose another primary meanwhile
    }
    double sent = record.seconds();
    String body = Configurations.patch(version + 1, Configurations.routes(9_999_999, 1));
    Http.Message answer = fleet.order("PATCH", version, body, READING_MILLIS);
    double took = record.seconds() - sent;
    record.say(
        "PATCH of one route: %s after %.1f s",
        answer == null ? "no clear answer" : answer.firstLine, took);
    boolean inTime = answer != null && 1_000 * took <= ACK_TIMEOUT_MILLIS;
    return inTime ? Record.HELD : Record.BROKEN;
  }

  /** Asks one agent after the other; reads what comes at 100 kB a second. */
  private static void readSlowly(Fleet fleet, Record record, int reader) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(3 * READING_MILLIS);
    for (int call = 0; System.nanoTime() < end; call++) {
      Fleet.Machine agent = fleet.control.get(call % fleet.control.size());
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(16_384);
        socket.setSoTimeout(1_500);
        socket.connect(Http.address(agent.control()), 1_000);
        Http.write(
            socket.getOutputStream(),
            "GET /config HTTP/1.1",
            Map.of("Host", agent.control()),
            new byte[0]);
        long bytes = read(socket.getInputStream());
        record.say("reader %d: %d bytes from %s", reader, bytes, agent.name);
      } catch (IOException failed) {
        record.detail("reader %d at %s: %s", reader, agent.name, failed);
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  private static long read(InputStream input) throws IOException, InterruptedException {
    byte[] buffer = new byte[READ_BYTES];
    long bytes = 0;
    int count = input.read(buffer);
    while (count >= 0) {
      bytes += count;
      if (bytes < 400) {
        return bytes; // a short answer: this agent cannot tell
      }
      Thread.sleep(READ_PAUSE_MILLIS);
      count = input.read(buffer);
    }
    return bytes;
  }
}
