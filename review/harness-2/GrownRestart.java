import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The configuration grows twice by many routes while a data plane behind a link of 7
 * Mbit/s serves. Then all processes are killed and come back. Does the data plane serve again?
 */
final class GrownRestart {
  private static final double LINK_MEGABITS = 7;
  private static final int GROWTHS = 2;
  private static final int ROUTES_PER_GROWTH = 1_400;
  private static final int SMALL_CHANGES = 2;
  private static final int CHANGE_MILLIS = 3_000;
  private static final int REQUEST_MILLIS = 200;
  private static final int TIMEOUT_MILLIS = 1_500;
  private static final int RECOVERY_MILLIS = 15_000;
  private static final int JUDGED_MILLIS = 10_000;
  private static final double MIN_SHARE = 0.25;

  private final Record record;
  private int number;
  private int version = 1;

  private GrownRestart(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      try (Deployment deployment =
              new Deployment(record, List.of("127.1.0.1", "127.2.0.1", "127.3.0.1"));
          Link link = new Link(LINK_MEGABITS)) {
        status = new GrownRestart(record).run(deployment, link, trouble);
      } catch (Exception failed) {
        record.line("the case could not run: %s", failed);
      }
      record.line("exit status %d", status);
    }
    System.exit(status);
  }

  private int run(Deployment deployment, Link link, boolean trouble) throws Exception {
    for (int zone = 1; zone <= 3; zone++) {
      deployment.addCore("core-" + zone, "127." + zone + ".0.1", "zone-" + zone);
    }
    Deployment.Machine edge = deployment.addEdge("edge-1", "127.1.0.9", "zone-1");
    int linkPort = Deployment.freePort();
    for (Deployment.Machine core : deployment.coreMachines()) {
      link.add(core.ip, linkPort, deployment.internalPort);
    }
    edge.ownSettings.put("port_range", linkPort + "," + linkPort);
    edge.ownSettings.put("limits.link_mbps", String.valueOf(LINK_MEGABITS));
    for (Deployment.Machine machine : deployment.machines.values()) {
      deployment.start(machine);
    }
    SmallFleet.startBackends(
        deployment, place -> new Backend(record, "ledger", place.address(), place.zone(), 6));
    List<String> first = List.of(Configurations.route("lookup", "non_idempotent", TIMEOUT_MILLIS));
    if (deployment.change("PUT", 0, Configurations.document(1, first), 30).status() != 200) {
      return 2;
    }
    Thread.sleep(4_000);
    for (int growth = 0; growth < GROWTHS; growth++) {
      if (!add(deployment, "grown-" + growth, ROUTES_PER_GROWTH)) {
        return 2;
      }
    }
    for (int change = 0; change < SMALL_CHANGES; change++) {
      if (!add(deployment, "later-" + change, 1)) {
        return 2;
      }
    }
    Deployment.Reply document =
        deployment.call(deployment.coreMachines().get(0), "GET", "/config", null, null);
    record.line("the configuration has %d bytes", document.body().length());
    double before = share(edge, deployment, "before", JUDGED_MILLIS);
    if (before < MIN_SHARE) {
      return 2;
    }
    if (trouble) {
      killAll(deployment);
      Thread.sleep(RECOVERY_MILLIS);
    }
    double after = share(edge, deployment, "after", JUDGED_MILLIS);
    for (String line : deployment.logLines(edge, "logger=DataPlane")) {
      record.line("edge-1 logged: %s", line);
    }
    return after < MIN_SHARE ? 1 : 0;
  }

  /** Adds routes to the configuration and waits for their delivery. */
  private boolean add(Deployment deployment, String name, int count) throws InterruptedException {
    List<String> routes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      routes.add(Configurations.route(name + "-" + i + "-aj3nr26", "streaming", 8_000));
    }
    String patch = Configurations.patch(version + 1, routes);
    boolean taken = deployment.change("PATCH", version, patch, 10).status() == 200;
    version++;
    Thread.sleep(CHANGE_MILLIS);
    return taken;
  }

  private void killAll(Deployment deployment) throws Exception {
    for (Deployment.Machine machine : deployment.machines.values()) {
      deployment.kill(machine);
    }
    Thread.sleep(1_000);
    for (Deployment.Machine machine : deployment.machines.values()) {
      deployment.start(machine);
    }
  }

  /** Sends a request each 200 ms for some seconds and returns the share of them that is served. */
  private double share(Deployment.Machine edge, Deployment deployment, String when, int millis)
      throws InterruptedException {
    int sent = 0;
    List<AtomicBoolean> served = new ArrayList<>();
    String last = "";
    long end = System.nanoTime() + millis * 1_000_000L;
    while (System.nanoTime() < end) {
      String id = "lookup-" + number++;
      sent++;
      AtomicBoolean ok = new AtomicBoolean();
      served.add(ok);
      try (Client client = new Client(edge.ip, deployment.frontPort, 0)) {
        client.send("/lookup/", id, TIMEOUT_MILLIS);
        Client.Answer answer = client.read((byte) 0, 0, TIMEOUT_MILLIS);
        ok.set(answer.isSuccess() && answer.end() == Client.End.WHOLE);
        last = answer.status();
      } catch (IOException failed) {
        last = failed.toString();
      }
      Thread.sleep(REQUEST_MILLIS);
    }
    long count = served.stream().filter(AtomicBoolean::get).count();
    record.line("%s: %d of %d requests served, last answer: %s", when, count, sent, last);
    return sent == 0 ? 0 : (double) count / sent;
  }
}
