import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The operator adds routes in many changes, all acknowledged; then all processes are killed at the
 * same moment and started again. Rule RECOVER: a quarter of the requests or more has to be served
 * once recovery_s has passed.
 */
final class GrownConfiguration {
  private static final int CHANGES = 80;
  private static final int ROUTES_A_CHANGE = 400;
  private static final double DOWN_SECONDS = 1.0;
  private static final double RECOVERY_SECONDS = 12.0;
  private static final double JUDGED_SECONDS = 8.0;

  private GrownConfiguration() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = Record.COULD_NOT_RUN;
    try (Record record = new Record(Path.of(arguments[1]));
        Fleet fleet = new Fleet(Path.of(arguments[0]), 3, 2)) {
      Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
      result = run(fleet, record, trouble);
      record.say("exit status %d", result);
    }
    System.exit(result);
  }

  private static int run(Fleet fleet, Record record, boolean trouble) throws Exception {
    Traffic traffic = new Traffic(fleet, record, "/ledger/entry");
    List<Backend> backends = new ArrayList<>();
    fleet.start();
    for (int number = 1; number <= 2; number++) {
      backends.add(
          new Backend(fleet, number, "libro-eventos", Fleet.zone(number), 6, traffic::run));
    }
    Http.Message first = fleet.order("PUT", 0, Configurations.whole(1, ""), 15_000);
    if (first == null || first.status() != 200 || !fleet.awaitReady(15_000)) {
      record.say("the fleet did not come up");
      return Record.COULD_NOT_RUN;
    }
    traffic.start(4, 200);
    double before = record.seconds();
    long version = grow(fleet, record);
    if (version <= CHANGES) {
      return Record.COULD_NOT_RUN;
    }
    readBack(fleet, record);
    Thread.sleep(2_000);
    double killed = record.seconds();
    if (trouble) {
      killAll(fleet, record);
    }
    double back = record.seconds();
    Thread.sleep((long) (1_000 * (RECOVERY_SECONDS + JUDGED_SECONDS)));
    traffic.close();
    Thread.sleep(2_500);
    int[] earlier = traffic.served(before, killed);
    int[] later =
        traffic.served(back + RECOVERY_SECONDS, back + RECOVERY_SECONDS + JUDGED_SECONDS);
    readBack(fleet, record);
    for (Fleet.Machine edge : fleet.edge) {
      record.say("%s: /ready answers 200: %b; end of its log:", edge.name, edge.isReady());
      record.detail("%s", fleet.logEnd(edge, 6));
    }
    record.say("before the fault %d of %d requests served", earlier[1], earlier[0]);
    record.say("later than recovery_s after it %d of %d served", later[1], later[0]);
    if (earlier[0] < 20 || later[0] < 20 || 4 * earlier[1] < earlier[0]) {
      return Record.COULD_NOT_RUN;
    }
    return 4 * later[1] < later[0] ? Record.BROKEN : Record.HELD;
  }

  /** Adds routes; the newest version that was acknowledged. */
  private static long grow(Fleet fleet, Record record) throws Exception {
    long version = 1;
    for (int change = 0; change < CHANGES; change++) {
      String routes = Configurations.routes((long) change * ROUTES_A_CHANGE, ROUTES_A_CHANGE);
      Http.Message answer =
          fleet.order("PATCH", version, Configurations.patch(version + 1, routes), 10_000);
      String status = answer == null ? "no clear answer" : Integer.toString(answer.status());
      record.detail("PATCH /config If-Match: %d, %d routes: %s", version, ROUTES_A_CHANGE, status);
      if (answer == null || answer.status() != 200) {
        record.say("change %d was not taken: %s", version + 1, status);
        return version;
      }
      version++;
    }
    record.say("%d changes acknowledged, the newest is version %d", CHANGES, version);
    return version;
  }

  private static void killAll(Fleet fleet, Record record) throws Exception {
    List<Fleet.Machine> all = new ArrayList<>(fleet.control);
    all.addAll(fleet.edge);
    for (Fleet.Machine machine : all) {
      machine.signal("KILL");
    }
    for (Fleet.Machine machine : all) {
      machine.process.waitFor();
    }
    record.say("SIGKILL to all %d processes", all.size());
    Thread.sleep((long) (1_000 * DOWN_SECONDS));
    for (Fleet.Machine machine : all) {
      machine.bootstrap = false;
      machine.start();
    }
    record.say("all started again, disks kept");
  }

  private static void readBack(Fleet fleet, Record record) {
    for (Fleet.Machine agent : fleet.control) {
      String result;
      try {
        Http.Message answer =
            Http.call(
                agent.control(),
                "GET /config HTTP/1.1",
                Map.of("Host", agent.control()),
                new byte[0],
                5_000);
        String start = answer.text().substring(0, Math.min(13, answer.body.length));
        result = answer.status() + ", " + answer.body.length + " bytes, " + start;
      } catch (IOException failed) {
        result = failed.toString();
      }
      record.say("GET /config at %s: %s", agent.name, result);
    }
  }
}
