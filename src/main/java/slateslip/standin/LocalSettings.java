package slateslip.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes the settings files of the processes of a local fleet. */
final class LocalSettings {
  static final int HEARTBEAT_MILLIS = 1_200;

  private final FleetAddresses addresses;
  private final Path folder;

  LocalSettings(FleetAddresses addresses, Path folder) {
    this.addresses = addresses;
    this.folder = folder;
  }

  static String zone(int index) {
    return "zone-" + (char) ('a' + index);
  }

  Path controlAgent(int index) throws IOException {
    String name = "control-" + (index + 1);
    Path data = Files.createDirectories(folder.resolve(name));
    String ip = addresses.controlAgent(index);
    return write(
        name,
        List.of(
            "node=" + name,
            "role=controlplane",
            "serves=control_plane",
            "ip=" + ip,
            "zone=" + zone(index),
            "listen.control=" + ip + ":" + addresses.control(),
            "bootstrap=true",
            "counts_for_quorum=true",
            "data_dir=" + data,
            "limits.disk_mb=128"));
  }

  Path dataPlane(int index) throws IOException {
    String name = "edge-" + (index + 1);
    String ip = addresses.dataPlane(index);
    return write(
        name,
        List.of(
            "node=" + name,
            "role=dataplane",
            "serves=edge",
            "ip=" + ip,
            "zone=" + zone(index),
            "listen.front=" + ip + ":" + addresses.front(),
            "listen.ready=" + ip + ":" + addresses.ready(),
            "bootstrap=true",
            "limits.max_fds=1024"));
  }

  private Path write(String name, List<String> own) throws IOException {
    StringBuilder text = new StringBuilder();
    own.forEach(line -> text.append(line).append('\n'));
    for (int i = 0; i < FleetAddresses.CONTROL_AGENTS; i++) {
      text.append("zones.").append(zone(i)).append("=local\n");
    }
    text.append("region=local\n")
        .append("port_range=" + addresses.internal() + "," + addresses.internal() + "\n")
        .append("seed_nodes=" + String.join(",", addresses.controlAddresses()) + "\n")
        .append("heartbeat_ms=" + HEARTBEAT_MILLIS + "\n")
        .append("fault_tolerance.machines=1\n");
    return Files.writeString(folder.resolve(name + ".conf"), text);
  }
}
