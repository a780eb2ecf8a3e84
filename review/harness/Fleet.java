import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The project's own programs, started with the run lines of the deploy file, on loopback. */
final class Fleet implements AutoCloseable {
  /** One machine with one process. */
  final class Machine {
    final String name;
    final String role;
    final String ip;
    final String zone;
    final Path settings;
    boolean bootstrap = true;
    Process process;

    Machine(String name, String role, String ip, String zone) {
      this.name = name;
      this.role = role;
      this.ip = ip;
      this.zone = zone;
      this.settings = folder.resolve(name + ".conf");
    }

    String front() {
      return ip + ":" + frontPort;
    }

    String ready() {
      return ip + ":" + readyPort;
    }

    String control() {
      return ip + ":" + controlPort;
    }

    Path log() {
      return folder.resolve(name + ".log");
    }

    void start() throws IOException {
      Files.writeString(settings, settingsText(this));
      ProcessBuilder builder = new ProcessBuilder(runLine(role).split(" "));
      builder.directory(root.toFile());
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("SLATESLIP_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
    }

    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor();
    }

    boolean isReady() {
      try {
        return Http.call(ready(), "GET /ready HTTP/1.1", Map.of("Host", ip), new byte[0], 900)
                .status()
            == 200;
      } catch (IOException | RuntimeException notYet) {
        return false;
      }
    }
  }

  private final Path root;
  private final Path folder;
  private final String network;
  private final int frontPort = freePort();
  private final int readyPort = freePort();
  private final int controlPort = freePort();
  private final int internalPort = freePort();
  final int backendPort = freePort();
  final List<Machine> control = new ArrayList<>();
  final List<Machine> edge = new ArrayList<>();
  final Map<String, String> bounds = new LinkedHashMap<>();

  Fleet(Path root, int controlAgents, int dataPlanes) throws IOException {
    this.root = root;
    folder = Files.createTempDirectory("review-");
    network = "127." + ThreadLocalRandom.current().nextInt(10, 250);
    // Bounds of the site pv-slateslip.
    bounds.put("seed_lag_s", "3");
    bounds.put("addr_reuse_s", "2");
    bounds.put("contact_ms", "3000");
    bounds.put("ack_timeout_ms", "4000");
    bounds.put("sync_s", "4");
    bounds.put("drain_timeout_ms", "2000");
    bounds.put("grace_period_s", "8");
    bounds.put("loss_slack_ms", "200");
    bounds.put("config_apply_ms", "2000");
    bounds.put("rollback_slack_ms", "250");
    bounds.put("skew_bound_ms", "5000");
    bounds.put("closed", "false");
    bounds.put("revoke_timeout_ms", "5000");
    bounds.put("retry_budget_ratio", "0.2");
    bounds.put("retry_window_s", "10");
    bounds.put("retry_budget_slack", "52");
    bounds.put("quota_window_s", "8");
    bounds.put("quota_overshoot", "0.1");
    bounds.put("quota_slack", "190000");
    bounds.put("recovery_s", "12");
    bounds.put("pass_ms", "120");
    bounds.put("again_s", "10");
    for (int i = 1; i <= controlAgents; i++) {
      control.add(new Machine("core-" + i, "controlplane", network + ".1." + i, zone(i)));
    }
    for (int i = 1; i <= dataPlanes; i++) {
      edge.add(new Machine("edge-" + i, "dataplane", network + ".2." + i, zone(i)));
    }
  }

  static String zone(int number) {
    return "zone-" + (char) ('a' + (number - 1) % 3);
  }

  String backendIp(int number) {
    return network + ".3." + number;
  }

  /** A file in the temporary folder of this fleet. */
  Path file(String name) {
    return folder.resolve(name);
  }

  private static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return probe.getLocalPort();
    }
  }

  List<String> controlAddresses() {
    return control.stream().map(Machine::control).toList();
  }

  private String runLine(String role) throws IOException {
    boolean found = false;
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      found |= line.equals("[roles." + role + "]");
      if (found && line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.length() - 1);
      }
    }
    throw new IOException("no run line of " + role);
  }

  private String settingsText(Machine machine) throws IOException {
    boolean core = machine.role.equals("controlplane");
    StringBuilder text = new StringBuilder();
    text.append("node=" + machine.name + "\nrole=" + machine.role + "\n");
    text.append("instance_class=" + (core ? "core" : "edge") + "\n");
    text.append("serves=" + (core ? "control_plane" : "edge") + "\n");
    text.append("ip=" + machine.ip + "\nzone=" + machine.zone + "\nregion=local\n");
    for (int i = 1; i <= 3; i++) {
      text.append("zones." + zone(i) + "=local\n");
    }
    if (core) {
      Path data = Files.createDirectories(folder.resolve(machine.name + "-data"));
      text.append("listen.control=" + machine.control() + "\ndata_dir=" + data + "\n");
    } else {
      text.append("listen.front=" + machine.front() + "\nlisten.ready=" + machine.ready() + "\n");
    }
    text.append("port_range=" + internalPort + "," + internalPort + "\n");
    text.append("seed_nodes=" + String.join(",", controlAddresses().subList(0, Math.min(3, control.size()))) + "\n");
    text.append("bootstrap=" + machine.bootstrap + "\n");
    text.append("counts_for_quorum=" + core + "\n");
    text.append("limits.cpu_quota=0.75\nlimits.cpu_cores=1\n");
    text.append("limits.memory_mb=" + (core ? 426 : 430) + "\n");
    text.append("limits.max_fds=4096\nlimits.link_mbps=1000.0\n");
    text.append("limits.disk_mb=" + (core ? 128 : 0) + "\n");
    text.append("discovery=self_register\ningress=vip\nheartbeat_ms=1200\n");
    text.append("contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota\n");
    text.append("fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n");
    bounds.forEach((name, value) -> text.append("bounds." + name + "=" + value + "\n"));
    return text.toString();
  }

  void start() throws IOException {
    for (Machine machine : control) {
      machine.start();
    }
    for (Machine machine : edge) {
      machine.start();
    }
  }

  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < end) {
      if (edge.stream().allMatch(Machine::isReady)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  String logEnd(Machine machine, int lines) throws IOException {
    List<String> all = Files.readAllLines(machine.log(), StandardCharsets.ISO_8859_1);
    return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
  }

  /** How many lines of a machine's log hold this text. */
  long logLines(Machine machine, String text) throws IOException {
    return Files.readAllLines(machine.log(), StandardCharsets.ISO_8859_1).stream()
        .filter(line -> line.contains(text))
        .count();
  }

  /** Sends the operator's call to one agent after the other until one gives a clear answer. */
  Http.Message order(String method, long base, String body, long millis) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    for (int i = 0; System.nanoTime() < end; i++) {
      String address = control.get(i % control.size()).control();
      try {
        Http.Message answer =
            Http.call(
                address,
                method + " /config HTTP/1.1",
                Map.of(
                    "Host", address, "If-Match", "" + base, "Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8),
                3_000);
        int status = answer.status();
        if (status < 500 && status != 408 && status != 429) {
          return answer;
        }
      } catch (IOException unclear) {
        // the next agent is asked
      }
      Thread.sleep(Math.min(1_000, 100L << Math.min(i, 4)));
    }
    return null;
  }

  @Override
  public synchronized void close() {
    List<Machine> all = new ArrayList<>(control);
    all.addAll(edge);
    for (Machine machine : all) {
      if (machine.process != null) {
        machine.process.destroyForcibly();
      }
    }
    for (Machine machine : all) {
      if (machine.process != null) {
        machine.process.onExit().join();
      }
    }
    String keep = System.getenv("REVIEW_KEEP");
    if (keep != null) {
      System.err.println("kept " + folder);
      return;
    }
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException left) {
      System.err.println("left " + folder);
    }
  }
}
