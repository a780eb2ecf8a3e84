import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A data plane is asked to end while clients read answers that its backends have already given. Are
 * the answers complete by the end of the grace period?
 */
final class CutAnswers {
  private static final int CLIENTS = 2;
  private static final int ANSWER_BYTES = 14_000_000;
  private static final int BYTES_PER_SECOND = 2_300_000;
  private static final int CLIENT_BUFFER_BYTES = 64 * 1024;
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final int ARRIVAL_MILLIS = 200;
  private static final int GRACE_SECONDS = 8;

  private final Record record;
  private final ConcurrentLinkedQueue<Client.Answer> answers = new ConcurrentLinkedQueue<>();

  private CutAnswers(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    Case.run(
        arguments,
        (deployment, record, trouble) -> new CutAnswers(record).run(deployment, trouble));
  }

  private int run(Deployment deployment, boolean trouble) throws Exception {
    SmallFleet fleet =
        SmallFleet.start(
            deployment,
            ip -> new LargeAnswerBackend(record, ip.address(), ip.zone(), "/lookup/", ANSWER_BYTES),
            Configurations.document(
                1,
                List.of(
                    Configurations.route("lookup", "non_idempotent", TIMEOUT_MILLIS),
                    Configurations.route("small", "non_idempotent", TIMEOUT_MILLIS))));
    if (fleet == null) {
      return Case.COULD_NOT_RUN;
    }
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String id = "answer-" + i;
      Thread thread = new Thread(() -> ask(fleet, id));
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
      Thread.sleep(ARRIVAL_MILLIS);
    }
    Thread.sleep(ARRIVAL_MILLIS);
    fleet.runs().forEach(run -> record.line("ran at %.3f: %s", run.seconds(), run.id()));
    if (trouble) {
      deployment.terminate(fleet.edge(), GRACE_SECONDS);
    }
    for (Thread thread : threads) {
      thread.join(2L * TIMEOUT_MILLIS);
    }
    long whole = answers.stream().filter(answer -> answer.end() == Client.End.WHOLE).count();
    record.line("%d answers, %d whole", answers.size(), whole);
    if (answers.size() < CLIENTS) {
      return Case.COULD_NOT_RUN;
    }
    return whole == CLIENTS ? Case.HELD : Case.BROKEN;
  }

  /** Sends a small request and then a large one on the same connection. */
  private void ask(SmallFleet fleet, String id) {
    try (Client client = fleet.client(CLIENT_BUFFER_BYTES)) {
      client.send("/small/", id + "-first", TIMEOUT_MILLIS);
      Client.Answer first = client.read((byte) 0, 0, TIMEOUT_MILLIS);
      record.line("%s-first: %s, %s", id, first.status(), first.end());
      client.send("/lookup/", id, TIMEOUT_MILLIS);
      record.line("%s: sent", id);
      Client.Answer answer =
          client.read(LargeAnswerBackend.letter(id), BYTES_PER_SECOND, TIMEOUT_MILLIS);
      answers.add(answer);
      record.line(
          "%s: %s, %s, %d of %d bytes after %.1f s",
          id,
          answer.status(),
          answer.end(),
          answer.bytes(),
          answer.length(),
          answer.seconds());
    } catch (IOException | InterruptedException failed) {
      record.line("%s: %s", id, failed);
    }
  }
}
