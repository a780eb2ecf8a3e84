package slateslip.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import slateslip.cli.CommandLine;
import slateslip.loadbalancer.scale.Children;
import slateslip.loadbalancer.scale.ProcessFigures;

/**
 * Real control plane processes on loopback addresses of their own, each with a disk and a settings
 * file.
 */
final class ControlCluster implements AutoCloseable {
  private static final String HOST_PREFIX = "127.0.9.";
  private static final int HEARTBEAT_MILLIS = 1_200;

  /** The heap and code limits of the deploy file's role. */
  private static final List<String> JAVA_OPTIONS =
      List.of(
          "-Xms24m",
          "-Xmx96m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:MaxMetaspaceSize=64m",
          "-XX:ReservedCodeCacheSize=24m",
          "-XX:MaxDirectMemorySize=32m",
          "-XX:-UsePerfData");

  private final Children children = new Children();
  private final List<Process> agents = new ArrayList<>();
  private final Path folder;
  private final int size;
  private final int controlPort;
  private final int internalPort;

  /**
   * Starts the processes; {@link #controlAddress} says where each will listen.
   *
   * @param folder for settings, disks and logs
   */
  ControlCluster(Path folder, Path jar, int size) throws IOException {
    this.folder = folder;
    this.size = size;
    this.controlPort = freePort();
    this.internalPort = freePort();
    for (int index = 0; index < size; index++) {
      agents.add(start(index, jar));
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST_PREFIX + 1))) {
      return socket.getLocalPort();
    }
  }

  private Process start(int index, Path jar) throws IOException {
    Path settings = folder.resolve("core-" + index + ".properties");
    Files.writeString(settings, settings(index));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JAVA_OPTIONS);
    command.addAll(List.of("-jar", jar.toAbsolutePath().toString()));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put(CommandLine.SETTINGS_VARIABLE, settings.toAbsolutePath().toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve("core-" + index + ".log").toFile());
    return children.start(builder);
  }

  private String settings(int index) {
    List<String> seeds = new ArrayList<>();
    for (int seed = 0; seed < size; seed++) {
      seeds.add(controlAddress(seed));
    }
    return String.join(
        "\n",
        "node=core-" + index,
        "role=controlplane",
        "ip=" + host(index),
        "zone=z" + index,
        "zones.z" + index + "=r",
        "listen.control=" + controlAddress(index),
        "port_range=" + internalPort + "," + (internalPort + 1),
        "seed_nodes=" + String.join(",", seeds),
        "bootstrap=true",
        "counts_for_quorum=true",
        "data_dir=" + folder.resolve("disk-" + index).toAbsolutePath(),
        "heartbeat_ms=" + HEARTBEAT_MILLIS,
        "fault_tolerance.machines=" + (size > 2 ? 1 : 0),
        "");
  }

  /** Number of agents, killed ones included. */
  int size() {
    return size;
  }

  /** The address of an agent. */
  static String host(int index) {
    return HOST_PREFIX + (index + 1);
  }

  /** Where an agent takes calls. */
  String controlAddress(int index) {
    return host(index) + ":" + controlPort;
  }

  /** The port for data planes, the same at all agents. */
  int internalPort() {
    return internalPort;
  }

  /** Kills an agent; its disk stays. */
  void kill(int index) throws InterruptedException {
    agents.get(index).destroyForcibly().waitFor();
  }

  /** Processor time spent so far by each agent that lives, in seconds; NaN for the others. */
  double[] cpuSeconds() {
    return agents.stream().mapToDouble(agent -> ProcessFigures.cpuSeconds(agent.pid())).toArray();
  }

  /** Resident memory of each agent that lives, in MB; NaN for the others. */
  double[] residentMb() {
    return agents.stream().mapToDouble(agent -> ProcessFigures.residentMb(agent.pid())).toArray();
  }

  @Override
  public void close() {
    children.close();
  }
}
