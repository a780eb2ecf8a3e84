import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;

/**
 * Many users come at once and ask for answers of some MB, which each of them reads at the speed of
 * an ordinary line. Does each get the whole answer to its own request?
 */
final class LostAnswers {
  private static final int USERS = 60;
  private static final int USERS_AT_ONCE_IN_CALM = 6;
  private static final int ARRIVAL_MILLIS = 65;
  private static final int ANSWER_BYTES = 6_000_000;
  private static final int BYTES_PER_SECOND = 900_000;
  private static final int CLIENT_BUFFER_BYTES = 64 * 1024;
  private static final int TIMEOUT_MILLIS = 15_000;
  private static final int AFTER_TIMEOUT_MILLIS = 500;
  private static final int PIPELINING_USER = 4;
  private static final int MIN_UNANSWERED = 8;

  private final Record record;
  private final ConcurrentLinkedQueue<Client.Answer> answers = new ConcurrentLinkedQueue<>();

  private LostAnswers(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    Case.run(
        arguments,
        (deployment, record, trouble) -> new LostAnswers(record).run(deployment, trouble));
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
    Semaphore places = new Semaphore(trouble ? USERS : USERS_AT_ONCE_IN_CALM);
    List<Thread> users = new ArrayList<>();
    for (int i = 0; i < USERS; i++) {
      String id = "answer-" + i;
      boolean pipelines = i % PIPELINING_USER == PIPELINING_USER - 1;
      places.acquire();
      Thread user =
          new Thread(
              () -> {
                ask(fleet, id, pipelines);
                places.release();
              });
      user.setDaemon(true);
      user.start();
      users.add(user);
      Thread.sleep(ARRIVAL_MILLIS);
    }
    for (Thread user : users) {
      user.join(2L * TIMEOUT_MILLIS);
    }
    return judge(fleet);
  }

  /** Asks for one large answer and, if told so, for a small one behind it. */
  private void ask(SmallFleet fleet, String id, boolean pipelines) {
    try (Client client = fleet.client(CLIENT_BUFFER_BYTES)) {
      client.send("/lookup/", id, TIMEOUT_MILLIS);
      if (pipelines) {
        client.send("/small/", id + "-next", TIMEOUT_MILLIS);
      }
      Client.Answer answer =
          client.read(
              LargeAnswerBackend.letter(id),
              BYTES_PER_SECOND,
              TIMEOUT_MILLIS + AFTER_TIMEOUT_MILLIS);
      answers.add(answer);
      record.line(
          "%s: %s, %s, %d of %d bytes after %.1f s %s",
          id,
          answer.status(),
          answer.end(),
          answer.bytes(),
          answer.length(),
          answer.seconds(),
          answer.foreign());
    } catch (IOException | InterruptedException failed) {
      record.line("%s: %s", id, failed);
    }
  }

  private int judge(SmallFleet fleet) {
    long foreign = count(Client.End.FOREIGN_BYTES);
    long unanswered = count(Client.End.SILENT);
    long lasting =
        answers.stream()
            .filter(answer -> answer.seconds() > TIMEOUT_MILLIS / 1e3)
            .count();
    long runs = fleet.runs().stream().filter(run -> !run.id().endsWith("-next")).count();
    record.line(
        "%d users; %d of their requests ran; whole answers %d; 2xx with the bytes of another"
            + " answer %d; without a final answer at timeout_ms %d, and 0.5 s later %d",
        USERS, runs, count(Client.End.WHOLE), foreign, lasting, unanswered);
    record.line("the data plane is running: %b", fleet.edge().isRunning());
    boolean mixed = foreign > 0;
    boolean overdue = unanswered >= MIN_UNANSWERED && 4 * unanswered > lasting;
    record.line("MIXED %s, CONFIG %s", mixed ? "broken" : "held", overdue ? "broken" : "held");
    return mixed || overdue ? Case.BROKEN : Case.HELD;
  }

  private long count(Client.End end) {
    return answers.stream().filter(answer -> answer.end() == end).count();
  }
}
