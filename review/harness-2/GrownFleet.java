import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Three control agents, three backends and one data plane that reaches the agents over a link of 7
 * Mbit/s. Its configuration can grow by many routes.
 */
final class GrownFleet {
  static final double LINK_MEGABITS = 7;
  static final int GROWTHS = 2;
  static final int ROUTES_PER_GROWTH = 1_400;
  static final int TIMEOUT_MILLIS = 1_500;

  private static final int ZONES = 3;
  private static final int SLOTS = 6;
  private static final int SETTLING_MILLIS = 4_000;
  private static final int CHANGE_MILLIS = 3_000;

  final Deployment deployment;
  final Deployment.Machine edge;
  final List<Backend> backends;
  private final List<String> routes = new ArrayList<>();
  private int version;

  /** Starts the processes; the configuration is still to be sent. */
  GrownFleet(Deployment deployment, Link link, Record record) throws IOException {
    this.deployment = deployment;
    for (int zone = 1; zone <= ZONES; zone++) {
      deployment.addCore("core-" + zone, "127." + zone + ".0.1", "zone-" + zone);
    }
    edge = deployment.addEdge("edge-1", "127.1.0.9", "zone-1");
    int linkPort = Deployment.freePort();
    for (Deployment.Machine core : deployment.coreMachines()) {
      link.add(core.ip, linkPort, deployment.internalPort);
    }
    edge.ownSettings.put("port_range", linkPort + "," + linkPort);
    edge.ownSettings.put("limits.link_mbps", String.valueOf(LINK_MEGABITS));
    deployment.moreSettings.put("bounds.config_apply_ms", "2500");
    deployment.moreSettings.put("bounds.recovery_s", "15");
    for (Deployment.Machine machine : deployment.machines.values()) {
      deployment.start(machine);
    }
    backends =
        SmallFleet.startBackends(
            deployment,
            place ->
                new Backend(
                    record, Configurations.SERVICE, place.address(), place.zone(), SLOTS));
  }

  int version() {
    return version;
  }

  /** Sends the whole configuration with these tenants. Returns whether it was acknowledged. */
  boolean putWhole(List<String> tenants) throws InterruptedException {
    String document = Configurations.document(version + 1, routes, tenants);
    return taken(deployment.change("PUT", version, document, 30));
  }

  /** Sends the first configuration, with one route, and waits until it is in force. */
  boolean begin(String route, List<String> tenants) throws InterruptedException {
    routes.add(route);
    boolean taken = putWhole(tenants);
    Thread.sleep(SETTLING_MILLIS);
    return taken;
  }

  /** Adds many routes, several times. */
  boolean grow() throws InterruptedException {
    for (int growth = 0; growth < GROWTHS; growth++) {
      if (!add("grown-" + growth, ROUTES_PER_GROWTH)) {
        return false;
      }
    }
    return true;
  }

  /** Adds routes and waits for their delivery. */
  boolean add(String name, int count) throws InterruptedException {
    List<String> added = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      added.add(Configurations.route(name + "-" + i + "-aj3nr26", "streaming", 8_000));
    }
    routes.addAll(added);
    String patch = Configurations.patch(version + 1, added);
    boolean taken = taken(deployment.change("PATCH", version, patch, 10));
    Thread.sleep(CHANGE_MILLIS);
    return taken;
  }

  private boolean taken(Deployment.Reply reply) {
    version++;
    return reply.status() == 200;
  }

  /** Returns the length of the configuration as an agent answers it. */
  int configurationBytes() {
    Deployment.Machine agent = deployment.coreMachines().get(0);
    return deployment.call(agent, "GET", "/config", null, null).body().length();
  }

  /** Sends one request and returns the status line of its answer, or why there is none. */
  String ask(String path, String id, String key) {
    try (Client client = new Client(edge.ip, deployment.frontPort, 0)) {
      client.send(path, id, TIMEOUT_MILLIS, key);
      return client.read((byte) 0, 0, TIMEOUT_MILLIS).status();
    } catch (IOException | InterruptedException failed) {
      return failed.toString();
    }
  }
}
