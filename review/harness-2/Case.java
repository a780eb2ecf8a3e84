import java.nio.file.Path;
import java.util.List;

/** Runs one case and ends the process with a status that run.sh maps to its own. */
final class Case {
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;

  /** Not 1, with which a Java process ends that does not find its class. */
  static final int BROKEN = 10;

  private static final List<String> SEEDS = List.of("127.1.0.1", "127.2.0.1", "127.3.0.1");

  /** What a case does with its deployment. Returns one of the statuses of {@link Case}. */
  interface Body {
    int run(Deployment deployment, Record record, boolean trouble) throws Exception;
  }

  private Case() {}

  /** Runs a case that writes to the file that the first argument names. */
  static void run(String[] arguments, Body body) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = COULD_NOT_RUN;
    try (Record record = new Record(Path.of(arguments[0]))) {
      record.line("with the disruption: %b", trouble);
      try (Deployment deployment = new Deployment(record, SEEDS)) {
        status = body.run(deployment, record, trouble);
      } catch (Exception | Error failed) {
        record.line("the case could not run: %s", failed);
      }
      record.line(
          "%s",
          status == BROKEN ? "the rule was broken" : status == HELD ? "the rule held" : "not run");
    }
    System.exit(status);
  }
}
