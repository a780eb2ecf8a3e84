package slateslip.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Assigns addresses to the processes of a soak test and writes their settings files. */
final class FleetLayout {
  static final long GRACE_SECONDS = 6;
  static final int HEARTBEAT_MILLIS = 600;

  /** Index of the data plane that reaches the control agents over a slow link. */
  private static final int SLOW_DATA_PLANE = 0;

  private static final int BACKENDS_PER_SERVICE = 3;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final SoakOptions options;
  private final Path folder;
  private final int front = freePort();
  private final int ready = freePort();
  private final int control = freePort();
  private final int internal = freePort();
  private final int slowInternal = freePort();
  private final int backend = freePort();

  FleetLayout(SoakOptions options, Path folder) throws IOException {
    this.options = options;
    this.folder = folder;
  }

  private static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return probe.getLocalPort();
    }
  }

  InetSocketAddress front(int dataPlane) {
    return new InetSocketAddress(dataPlaneIp(dataPlane), front);
  }

  String readyUrl(int dataPlane) {
    return "http://" + dataPlaneIp(dataPlane) + ":" + ready + "/ready";
  }

  private static String dataPlaneIp(int index) {
    return "127.0.1." + (index + 1);
  }

  private static String controlIp(int index) {
    return "127.0.0." + (index + 2);
  }

  /** Returns the addresses on which the backends of a service listen. */
  List<InetSocketAddress> backends(int service) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < BACKENDS_PER_SERVICE; i++) {
      addresses.add(
          new InetSocketAddress("127.0.2." + (service * BACKENDS_PER_SERVICE + i + 1), backend));
    }
    return addresses;
  }

  /** Returns the address on which a control agent listens. */
  InetSocketAddress control(int index) {
    return new InetSocketAddress(controlIp(index), control);
  }

  /** Returns the addresses of all control agents in the form {@code host:port}. */
  List<String> controlAddresses() {
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < options.controlAgents(); i++) {
      addresses.add(controlIp(i) + ":" + control);
    }
    return addresses;
  }

  /** Returns the address at which a control agent accepts data planes and other agents. */
  InetSocketAddress internal(int index) {
    return new InetSocketAddress(controlIp(index), internal);
  }

  /** Returns the address of the proxy through which the data plane with a slow link connects. */
  InetSocketAddress slowInternal(int index) {
    return new InetSocketAddress(controlIp(index), slowInternal);
  }

  static String zone(int index) {
    return "zone-" + index % 3;
  }

  Path controlData(int index) {
    return folder.resolve("control-" + index + "-data");
  }

  /**
   * Writes the settings file of a control agent. {@code bootstrap} allows the agent to create a new
   * fleet and must be true only for the first start.
   */
  Path controlSettings(int index, boolean bootstrap) throws IOException {
    String ip = controlIp(index);
    Path data = Files.createDirectories(controlData(index));
    return write(
        internal,
        "control-" + index,
        "role=controlplane\nserves=control_plane\nip="
            + ip
            + "\nzone="
            + zone(index)
            + "\nlisten.control="
            + ip
            + ":"
            + control
            + "\ncounts_for_quorum=true\ndata_dir="
            + data
            + "\nlimits.disk_mb=128\nbootstrap="
            + bootstrap
            + "\n");
  }

  Path dataPlaneSettings(int index) throws IOException {
    String ip = dataPlaneIp(index);
    return write(
        index == SLOW_DATA_PLANE ? slowInternal : internal,
        "edge-" + index,
        "role=dataplane\nserves=edge\nip="
            + ip
            + "\nzone="
            + zone(index)
            + "\nlisten.front="
            + ip
            + ":"
            + front
            + "\nlisten.ready="
            + ip
            + ":"
            + ready
            + "\nbootstrap=false\nlimits.max_fds=1024\n");
  }

  private Path write(int agentPort, String name, String processSettings) throws IOException {
    List<String> seeds = controlAddresses().subList(0, Math.min(3, options.controlAgents()));
    String text =
        "node="
            + name
            + "\n"
            + processSettings
            + "zones.zone-0=local\nzones.zone-1=local\nzones.zone-2=local\nregion=local\nport_range="
            + agentPort
            + ","
            + agentPort
            + "\nseed_nodes="
            + String.join(",", seeds)
            + "\nheartbeat_ms="
            + HEARTBEAT_MILLIS
            + "\nbounds.grace_period_s="
            + GRACE_SECONDS
            + "\nbounds.quota_window_s="
            + SoakQuota.WINDOW_MILLIS / MILLIS_PER_SECOND
            + "\nbounds.quota_overshoot="
            + SoakQuota.OVERSHOOT
            + "\nbounds.quota_slack=0"
            + "\nfault_tolerance.machines="
            + Math.min(1, options.faultTolerance())
            + "\n";
    return Files.writeString(folder.resolve(name + ".conf"), text);
  }
}
