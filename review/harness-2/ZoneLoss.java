import java.io.IOException;
import java.util.List;

/**
 * Six control agents in three zones, of which one zone may be lost at once. All are restarted in
 * turn, then a configuration is acknowledged, then one zone is lost with its disks. Is the
 * configuration still there?
 */
final class ZoneLoss {
  private static final int SYNC_MILLIS = 4_000;
  private static final int RECOVERY_MILLIS = 12_000;
  private static final int CONTACT_MILLIS = 3_000;
  private static final int GRACE_SECONDS = 8;
  private static final int ZONES = 3;
  private static final int MACHINES_PER_ZONE = 2;
  private static final String LOST_ZONE = "zone-1";

  private ZoneLoss() {}

  public static void main(String[] arguments) throws Exception {
    Case.run(arguments, ZoneLoss::run);
  }

  private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
    deployment.moreSettings.put("fault_tolerance.machines", "0");
    deployment.moreSettings.put("fault_tolerance.zones", "1");
    for (int zone = 1; zone <= ZONES; zone++) {
      for (int number = 1; number <= MACHINES_PER_ZONE; number++) {
        String name = "core-" + zone + "-" + number;
        deployment.addCore(name, "127." + zone + ".0." + number, "zone-" + zone);
      }
    }
    for (Deployment.Machine machine : deployment.coreMachines()) {
      deployment.start(machine);
    }
    if (deployment.change("PUT", 0, configuration(1), 30).status() != 200) {
      return Case.COULD_NOT_RUN;
    }
    restartInTurn(deployment);
    if (deployment.change("PUT", 1, configuration(2), 10).status() != 200) {
      return Case.COULD_NOT_RUN;
    }
    Thread.sleep(1_000);
    recordViews(deployment, record);
    if (trouble) {
      loseZone(deployment);
      Thread.sleep(RECOVERY_MILLIS);
    }
    boolean found = isReadBack(deployment, record);
    record.line(
        found ? "version 2 is read back" : "version 2 was acknowledged and is not read back");
    return found ? Case.HELD : Case.BROKEN;
  }

  /** Stops and starts one agent after the other; each has sync_s before the next one. */
  private static void restartInTurn(Deployment deployment) throws Exception {
    for (Deployment.Machine machine : deployment.coreMachines()) {
      Thread.sleep(SYNC_MILLIS + 500);
      deployment.terminate(machine, GRACE_SECONDS);
      Thread.sleep(1_000);
      deployment.start(machine);
    }
    Thread.sleep(SYNC_MILLIS + 1_500);
  }

  private static void recordViews(Deployment deployment, Record record) throws IOException {
    for (Deployment.Machine machine : deployment.coreMachines()) {
      List<String> views = deployment.logLines(machine, "view changed");
      if (!views.isEmpty()) {
        record.line("%s logged last: %s", machine.name, views.get(views.size() - 1));
      }
    }
  }

  private static void loseZone(Deployment deployment) throws Exception {
    List<Deployment.Machine> lost =
        deployment.coreMachines().stream()
            .filter(machine -> machine.zone.equals(LOST_ZONE))
            .toList();
    for (Deployment.Machine machine : lost) {
      deployment.kill(machine);
    }
    for (Deployment.Machine machine : lost) {
      deployment.loseDisk(machine);
    }
    Thread.sleep(2_000);
    for (Deployment.Machine machine : lost) {
      deployment.start(machine);
    }
  }

  /** Asks all agents for the configuration, again and again for more than contact_ms. */
  private static boolean isReadBack(Deployment deployment, Record record) throws Exception {
    long end = System.nanoTime() + 2L * CONTACT_MILLIS * 1_000_000;
    while (System.nanoTime() < end) {
      for (Deployment.Machine machine : deployment.coreMachines()) {
        Deployment.Reply reply = deployment.call(machine, "GET", "/config", null, null);
        String body = reply.body();
        record.line(
            "GET /config at %s: %d %s",
            machine.name,
            reply.status(),
            body.substring(0, Math.min(body.length(), 60)));
        if (reply.status() == 200 && body.contains("\"version\":2")) {
          return true;
        }
      }
      Thread.sleep(1_000);
    }
    return false;
  }

  private static String configuration(int version) {
    return Configurations.document(
        version, List.of(Configurations.route("lookup", "non_idempotent", 1_500)));
  }
}
