import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Requests with long bodies on a route that is not idempotent; one backend crashes while it works
 * on some of them. Rule TWICE: no request runs more than once.
 */
final class LongBodyCrash {
  private static final int BACKENDS = 3;
  private static final int ROUNDS = 6;
  private static final int AT_ONCE = 3;
  private static final int CRASH_ROUND = 3;
  private static final int BODY_BYTES = 4_194_304;

  /** Less than the backends' time of work. */
  private static final long CRASH_AFTER_MILLIS = 300;

  private LongBodyCrash() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = Record.COULD_NOT_RUN;
    List<Process> backends = new ArrayList<>();
    try (Record record = new Record(Path.of(arguments[1]));
        Fleet fleet = new Fleet(Path.of(arguments[0]), 3, 1)) {
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    backends.forEach(Process::destroyForcibly);
                    fleet.close();
                  }));
      result = run(fleet, record, backends, trouble);
      record.say("exit status %d", result);
      backends.forEach(Process::destroyForcibly);
    }
    System.exit(result);
  }

  private static int run(Fleet fleet, Record record, List<Process> backends, boolean trouble)
      throws Exception {
    fleet.start();
    List<Path> logs = new ArrayList<>();
    for (int number = 1; number <= BACKENDS; number++) {
      Path log = fleet.file("backend-" + number + ".log");
      logs.add(log);
      backends.add(startBackend(fleet, number, log));
    }
    Http.Message first = fleet.order("PUT", 0, Configurations.whole(1, ""), 15_000);
    if (first == null || first.status() != 200 || !fleet.awaitReady(15_000)) {
      record.say("the fleet did not come up");
      return Record.COULD_NOT_RUN;
    }
    Thread.sleep(3_000); // all backends have registered
    int answered = 0;
    ExecutorService clients = Executors.newFixedThreadPool(AT_ONCE);
    for (int round = 0; round < ROUNDS; round++) {
      List<Future<String>> answers = new ArrayList<>();
      for (int number = 0; number < AT_ONCE; number++) {
        String id = "r" + round + "-" + number;
        answers.add(clients.submit(() -> send(fleet, id)));
      }
      if (trouble && round == CRASH_ROUND) {
        crashOneAtWork(record, backends, logs, round);
      }
      for (int number = 0; number < AT_ONCE; number++) {
        String answer = answers.get(number).get();
        record.detail("request r%d-%d: %s", round, number, answer);
        answered += answer.startsWith("200") ? 1 : 0;
      }
    }
    clients.shutdown();
    Thread.sleep(1_000);
    return judge(record, logs, answered);
  }

  private static Process startBackend(Fleet fleet, int number, Path log) throws IOException {
    List<String> command = new ArrayList<>();
    command.addAll(List.of("java", "-Xmx64m", "-XX:+UseSerialGC", "-cp"));
    command.add(System.getProperty("java.class.path"));
    command.add("LongBodyBackend");
    command.add(fleet.backendIp(number) + ":" + fleet.backendPort);
    command.add(Fleet.zone(number));
    command.addAll(fleet.controlAddresses());
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(log.toFile())
        .start();
  }

  private static String send(Fleet fleet, String id) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", "fleet.example");
    headers.put("X-Attempt-Id", id);
    headers.put("X-Deadline-Ms", "10000");
    try (Socket socket = Http.connect(fleet.edge.get(0).front(), 1_000, 12_000)) {
      OutputStream output = socket.getOutputStream();
      Http.write(output, "POST /ledger/entry HTTP/1.1", headers, new byte[BODY_BYTES]);
      Http.Message answer = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
      return answer.status() + ", " + answer.header("X-Response-Stamp") + ", " + answer.text();
    } catch (IOException failed) {
      return failed.toString();
    }
  }

  /** Kills a backend that has begun to work on a request of this round and has not answered it. */
  private static void crashOneAtWork(
      Record record, List<Process> backends, List<Path> logs, int round) throws Exception {
    for (int look = 0; look < 500; look++) {
      for (int number = 0; number < backends.size(); number++) {
        String log = Files.readString(logs.get(number));
        if (log.contains("run r" + round + "-")) {
          Thread.sleep(CRASH_AFTER_MILLIS);
          backends.get(number).destroyForcibly().waitFor();
          record.say("SIGKILL to backend-%d, which was at work", number + 1);
          return;
        }
      }
      Thread.sleep(10);
    }
    record.say("no backend was found at work");
  }

  private static int judge(Record record, List<Path> logs, int answered) throws IOException {
    Map<String, List<String>> runs = new HashMap<>();
    for (int number = 0; number < logs.size(); number++) {
      for (String line : Files.readAllLines(logs.get(number))) {
        record.detail("backend-%d: %s", number + 1, line);
        if (line.startsWith("run ")) {
          runs.computeIfAbsent(line.substring(4), id -> new ArrayList<>())
              .add("backend-" + (number + 1));
        }
      }
    }
    boolean broken = false;
    for (Map.Entry<String, List<String>> request : runs.entrySet()) {
      if (request.getValue().size() > 1) {
        broken = true;
        record.say("request %s has run at %s", request.getKey(), request.getValue());
      }
    }
    record.say("%d of %d requests answered with 200", answered, ROUNDS * AT_ONCE);
    if (answered < ROUNDS) {
      return Record.COULD_NOT_RUN;
    }
    return broken ? Record.BROKEN : Record.HELD;
  }
}
