import java.util.List;

/**
 * The configuration of a fleet has grown by many routes. The operator sends a whole configuration
 * in which a tenant's key is taken away, and gets the acknowledgement. Is the key refused?
 */
final class GrownRevoke {
  private static final int CONFIG_APPLY_MILLIS = 2_500;
  private static final int JUDGED_MILLIS = 10_000;
  private static final int REQUEST_MILLIS = 200;
  private static final String OLD_KEY = "key-of-acme-1";
  private static final String NEW_KEY = "key-of-acme-2";
  private static final String OTHER_KEY = "key-of-other";

  private final Record record;
  private int number;

  private GrownRevoke(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    Case.run(
        arguments,
        (deployment, record, trouble) -> {
          try (Link link = new Link(GrownFleet.LINK_MEGABITS)) {
            return new GrownRevoke(record).run(new GrownFleet(deployment, link, record), trouble);
          }
        });
  }

  private int run(GrownFleet fleet, boolean trouble) throws Exception {
    String route =
        Configurations.keyedRoute("lookup", "non_idempotent", GrownFleet.TIMEOUT_MILLIS);
    if (!fleet.begin(route, tenants(OLD_KEY)) || (trouble && !fleet.grow())) {
      return Case.COULD_NOT_RUN;
    }
    record.line("the configuration has %d bytes", fleet.configurationBytes());
    String before = ask(fleet, OLD_KEY);
    if (!before.contains(" 200 ") || !fleet.putWhole(tenants(NEW_KEY))) {
      return Case.COULD_NOT_RUN;
    }
    double acknowledged = record.seconds();
    record.line("the key was taken away by version %d", fleet.version());
    Thread.sleep(CONFIG_APPLY_MILLIS);
    long end = System.nanoTime() + JUDGED_MILLIS * 1_000_000L;
    while (System.nanoTime() < end) {
      ask(fleet, OLD_KEY);
      Thread.sleep(REQUEST_MILLIS);
    }
    ask(fleet, NEW_KEY);
    long ran =
        fleet.backends.stream()
            .flatMap(backend -> backend.runs.stream())
            .filter(run -> run.id().startsWith(OLD_KEY))
            .filter(run -> run.seconds() > acknowledged + CONFIG_APPLY_MILLIS / 1e3)
            .count();
    record.line(
        "%d requests with the key ran that were sent more than config_apply_ms after the"
            + " acknowledgement",
        ran);
    for (String line : fleet.deployment.logLines(fleet.edge, "logger=DataPlane")) {
      record.line("edge-1 logged: %s", line);
    }
    return ran > 0 ? Case.BROKEN : Case.HELD;
  }

  private String ask(GrownFleet fleet, String key) {
    String id = key + "-" + number++;
    String status = fleet.ask("/lookup/", id, key);
    record.line("%s: %s", id, status);
    return status;
  }

  private static List<String> tenants(String key) {
    return List.of(
        Configurations.tenant("acme", key), Configurations.tenant("other", OTHER_KEY));
  }
}
