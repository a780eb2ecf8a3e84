import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: its processes are started with the run lines of the
 * deploy file, each with a settings file of its own in a temporary folder.
 */
final class Deployment implements AutoCloseable {
  /** The result of one call to a control agent; status 0 stands for no answer. */
  record Reply(int status, String body) {}

  /** One machine of the deployment and the process that runs on it. */
  static final class Machine {
    final String name;
    final String ip;
    final String zone;
    final boolean core;
    final Map<String, String> ownSettings = new LinkedHashMap<>();
    Process process;
    boolean bootstrap = true;

    Machine(String name, String ip, String zone, boolean core) {
      this.name = name;
      this.ip = ip;
      this.zone = zone;
      this.core = core;
    }

    boolean isRunning() {
      return process != null && process.isAlive();
    }
  }

  private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");

  final Path folder;
  final int controlPort;
  final int internalPort;
  final int frontPort;
  final int readyPort;
  final Record record;
  final Map<String, Machine> machines = new LinkedHashMap<>();
  final Map<String, String> moreSettings = new LinkedHashMap<>();
  private final List<String> seeds;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  Deployment(Record record, List<String> seedAddresses) throws IOException {
    this.record = record;
    folder = Files.createTempDirectory("review-2-");
    controlPort = freePort();
    internalPort = freePort();
    frontPort = freePort();
    readyPort = freePort();
    seeds = seedAddresses.stream().map(ip -> ip + ":" + controlPort).toList();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return probe.getLocalPort();
    }
  }

  Machine addCore(String name, String ip, String zone) {
    Machine machine = new Machine(name, ip, zone, true);
    machines.put(name, machine);
    return machine;
  }

  Machine addEdge(String name, String ip, String zone) {
    Machine machine = new Machine(name, ip, zone, false);
    machines.put(name, machine);
    return machine;
  }

  /** Starts the process of a machine, with the settings that hold at this moment. */
  void start(Machine machine) throws IOException {
    String role = machine.core ? "controlplane" : "dataplane";
    ProcessBuilder builder = new ProcessBuilder(runLine(role));
    Map<String, String> inherited = new LinkedHashMap<>(System.getenv());
    builder.environment().clear();
    for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      Optional.ofNullable(inherited.get(name))
          .ifPresent(value -> builder.environment().put(name, value));
    }
    builder.environment().put("SLATESLIP_CONFIG", settings(machine, role).toString());
    builder.redirectErrorStream(true);
    Path log = folder.resolve(machine.name + ".log");
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    machine.process = builder.start();
    machine.bootstrap = false;
    record.line("start %s at %s (zone %s)", machine.name, machine.ip, machine.zone);
  }

  private static List<String> runLine(String role) throws IOException {
    boolean inRole = false;
    for (String line : Files.readAllLines(DEPLOY_FILE)) {
      if (line.startsWith("[")) {
        inRole = line.equals("[roles." + role + "]");
      } else if (inRole && line.startsWith("run = ")) {
        String command = line.substring("run = \"".length(), line.length() - 1);
        return List.of(command.split(" "));
      }
    }
    throw new IOException("the deploy file has no run line of " + role);
  }

  private Path settings(Machine machine, String role) throws IOException {
    Map<String, String> lines = new LinkedHashMap<>();
    lines.put("node", machine.name);
    lines.put("role", role);
    lines.put("instance_class", machine.core ? "core" : "edge");
    lines.put("serves", machine.core ? "control_plane" : "edge");
    lines.put("ip", machine.ip);
    lines.put("zone", machine.zone);
    lines.put("region", "region-1");
    machines.values().forEach(other -> lines.put("zones." + other.zone, "region-1"));
    if (machine.core) {
      lines.put("listen.control", machine.ip + ":" + controlPort);
      lines.put("data_dir", Files.createDirectories(dataFolder(machine)).toString());
      lines.put("limits.disk_mb", "128");
    } else {
      lines.put("listen.front", machine.ip + ":" + frontPort);
      lines.put("listen.ready", machine.ip + ":" + readyPort);
      lines.put("limits.disk_mb", "0");
    }
    lines.put("port_range", internalPort + "," + internalPort);
    lines.put("seed_nodes", String.join(",", seeds));
    lines.put("bootstrap", String.valueOf(machine.bootstrap));
    lines.put("counts_for_quorum", String.valueOf(machine.core));
    lines.put("limits.cpu_quota", "0.75");
    lines.put("limits.cpu_cores", "1");
    lines.put("limits.memory_mb", machine.core ? "426" : "430");
    lines.put("limits.max_fds", "4100");
    lines.put("limits.link_mbps", "1000.0");
    lines.put("discovery", "self_register");
    lines.put("ingress", "vip");
    lines.put("heartbeat_ms", "1200");
    lines.put("contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,quota");
    lines.put("fault_tolerance.machines", "1");
    lines.put("fault_tolerance.zones", "0");
    lines.put("fault_tolerance.regions", "0");
    lines.put("bounds.contact_ms", "3000");
    lines.put("bounds.ack_timeout_ms", "4000");
    lines.put("bounds.sync_s", "4");
    lines.put("bounds.drain_timeout_ms", "2000");
    lines.put("bounds.grace_period_s", "8");
    lines.put("bounds.loss_slack_ms", "200");
    lines.put("bounds.config_apply_ms", "2000");
    lines.put("bounds.rollback_slack_ms", "250");
    lines.put("bounds.closed", "false");
    lines.put("bounds.revoke_timeout_ms", "5000");
    lines.put("bounds.retry_budget_ratio", "0.2");
    lines.put("bounds.retry_window_s", "10");
    lines.put("bounds.retry_budget_slack", "52");
    lines.put("bounds.quota_window_s", "8");
    lines.put("bounds.quota_overshoot", "0.1");
    lines.put("bounds.quota_slack", "190000");
    lines.put("bounds.recovery_s", "12");
    lines.put("bounds.pass_ms", "120");
    lines.put("bounds.again_s", "10");
    lines.putAll(moreSettings);
    lines.putAll(machine.ownSettings);
    StringBuilder text = new StringBuilder();
    lines.forEach((key, value) -> text.append(key).append('=').append(value).append('\n'));
    return Files.writeString(folder.resolve(machine.name + ".conf"), text);
  }

  Path dataFolder(Machine machine) {
    return folder.resolve("data-" + machine.name);
  }

  /** Kills the process of a machine without notice. */
  void kill(Machine machine) throws InterruptedException {
    record.line("kill %s", machine.name);
    machine.process.destroyForcibly();
    machine.process.waitFor(10, TimeUnit.SECONDS);
  }

  /** Sends SIGTERM, waits for the end of the process, and kills it after the grace period. */
  void terminate(Machine machine, int graceSeconds) throws InterruptedException {
    record.line("SIGTERM %s", machine.name);
    machine.process.destroy();
    if (!machine.process.waitFor(graceSeconds, TimeUnit.SECONDS)) {
      kill(machine);
    }
    record.line("%s has ended", machine.name);
  }

  /** Empties the data folder of a machine whose process has ended. */
  void loseDisk(Machine machine) throws IOException {
    record.line("%s loses its disk", machine.name);
    deleteTree(dataFolder(machine));
  }

  Reply call(Machine agent, String method, String path, String ifMatch, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + agent.ip + ":" + controlPort + path))
            .timeout(Duration.ofSeconds(2));
    if (ifMatch != null) {
      request.header("If-Match", ifMatch);
    }
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body);
    if (body != null) {
      request.header("Content-Type", "application/json");
    }
    try {
      HttpResponse<String> response =
          client.send(
              request.method(method, publisher).build(), HttpResponse.BodyHandlers.ofString());
      return new Reply(response.statusCode(), response.body());
    } catch (IOException failed) {
      return new Reply(0, String.valueOf(failed.getMessage()));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new Reply(0, "interrupted");
    }
  }

  List<String> controlAddresses() {
    return coreMachines().stream().map(machine -> machine.ip + ":" + controlPort).toList();
  }

  List<Machine> coreMachines() {
    return machines.values().stream().filter(machine -> machine.core).toList();
  }

  /**
   * Sends a change unchanged to one agent after the other until it is acknowledged or refused, for
   * a number of seconds at most, as the operator does.
   */
  Reply change(String method, long base, String body, int seconds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    Reply last = new Reply(0, "not sent");
    List<Machine> agents = coreMachines();
    for (int i = 0; System.nanoTime() < end; i++) {
      Machine agent = agents.get(i % agents.size());
      last = call(agent, method, "/config", Long.toString(base), body);
      boolean clear = last.status() >= 200 && last.status() < 500;
      if (clear && last.status() != 408 && last.status() != 429) {
        record.line("%s /config on %d at %s: %d", method, base, agent.name, last.status());
        return last;
      }
      Thread.sleep(200);
    }
    record.line("%s /config on %d: no clear answer, last %s", method, base, last);
    return last;
  }

  /** Returns the lines of a process's log that contain a text. */
  List<String> logLines(Machine machine, String text) throws IOException {
    Path log = folder.resolve(machine.name + ".log");
    if (!Files.exists(log)) {
      return List.of();
    }
    return Files.readAllLines(log).stream().filter(line -> line.contains(text)).toList();
  }

  static void deleteTree(Path root) throws IOException {
    if (!Files.exists(root)) {
      return;
    }
    List<Path> paths = new ArrayList<>();
    try (Stream<Path> files = Files.walk(root)) {
      files.sorted(Comparator.reverseOrder()).forEach(paths::add);
    }
    for (Path path : paths) {
      Files.deleteIfExists(path);
    }
  }

  private void endProcesses() {
    for (Machine machine : machines.values()) {
      if (machine.isRunning()) {
        machine.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    for (Machine machine : machines.values()) {
      try {
        if (machine.process != null) {
          machine.process.waitFor(10, TimeUnit.SECONDS);
        }
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    deleteTree(folder);
  }
}
