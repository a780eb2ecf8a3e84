import java.util.List;

/**
 * The configuration grows twice by many routes while a data plane behind a link of 7 Mbit/s serves.
 * Then all processes are killed and come back. Does the data plane serve again?
 */
final class GrownRestart {
  private static final int SMALL_CHANGES = 2;
  private static final int REQUEST_MILLIS = 200;
  private static final int RECOVERY_MILLIS = 15_000;
  private static final int JUDGED_MILLIS = 10_000;
  private static final double MIN_SHARE = 0.25;

  private final Record record;
  private int number;

  private GrownRestart(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    Case.run(
        arguments,
        (deployment, record, trouble) -> {
          try (Link link = new Link(GrownFleet.LINK_MEGABITS)) {
            return new GrownRestart(record)
                .run(new GrownFleet(deployment, link, record), trouble);
          }
        });
  }

  private int run(GrownFleet fleet, boolean trouble) throws Exception {
    String route = Configurations.route("lookup", "non_idempotent", GrownFleet.TIMEOUT_MILLIS);
    if (!fleet.begin(route, List.of()) || !fleet.grow()) {
      return Case.COULD_NOT_RUN;
    }
    for (int change = 0; change < SMALL_CHANGES; change++) {
      if (!fleet.add("later-" + change, 1)) {
        return Case.COULD_NOT_RUN;
      }
    }
    record.line("the configuration has %d bytes", fleet.configurationBytes());
    if (share(fleet, "before") < MIN_SHARE) {
      return Case.COULD_NOT_RUN;
    }
    if (trouble) {
      killAll(fleet.deployment);
      Thread.sleep(RECOVERY_MILLIS);
    }
    double after = share(fleet, "after");
    for (String line : fleet.deployment.logLines(fleet.edge, "logger=DataPlane")) {
      record.line("edge-1 logged: %s", line);
    }
    return after < MIN_SHARE ? Case.BROKEN : Case.HELD;
  }

  private static void killAll(Deployment deployment) throws Exception {
    for (Deployment.Machine machine : deployment.machines.values()) {
      deployment.kill(machine);
    }
    Thread.sleep(1_000);
    for (Deployment.Machine machine : deployment.machines.values()) {
      deployment.start(machine);
    }
  }

  /** Sends a request each 200 ms for some seconds and returns the share of them that is served. */
  private double share(GrownFleet fleet, String when) throws InterruptedException {
    int sent = 0;
    int served = 0;
    String last = "";
    long end = System.nanoTime() + JUDGED_MILLIS * 1_000_000L;
    while (System.nanoTime() < end) {
      last = fleet.ask("/lookup/", "lookup-" + number++, null);
      sent++;
      served += last.contains(" 200 ") ? 1 : 0;
      Thread.sleep(REQUEST_MILLIS);
    }
    record.line("%s: %d of %d requests served, last answer: %s", when, served, sent, last);
    return (double) served / sent;
  }
}
