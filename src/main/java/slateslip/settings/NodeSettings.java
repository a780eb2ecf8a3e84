package slateslip.settings;

import java.io.IOException;
import java.io.Reader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The settings of one process, read from its settings file.
 *
 * @param node name of the machine
 * @param role name of the role of the process in the deploy file; empty if not given
 * @param ip IPv4 address of the machine
 * @param zone zone of the machine
 * @param region region of the machine; empty if not given
 * @param zones region of each zone of the deployment, by the name of the zone
 * @param frontListen address that accepts connections of clients; null if the process does not
 *     serve clients
 * @param readyListen address that serves readiness checks; null if there are none
 * @param controlListen address that accepts requests of backends and the operator; null if the
 *     process does not serve them
 * @param ports ports that are free for traffic between agents
 * @param seeds control addresses of some control agents, in the order of the file
 * @param bootstrap whether the whole system is started for the first time, with empty disks
 * @param countsForQuorum whether a failure of the machine counts towards {@link
 *     FaultTolerance#machines}
 * @param limits resource limits of the process
 * @param dataDirectory directory for stored data; null if the machine has no disk
 * @param heartbeatMillis interval between two heartbeats of a backend
 * @param contracts names of the sets of requirements that apply to the deployment
 * @param faultTolerance number of simultaneous failures that the deployment must tolerate
 * @param bounds numeric limits that the deployment must keep
 */
public record NodeSettings(
    String node,
    String role,
    InetAddress ip,
    String zone,
    String region,
    Map<String, String> zones,
    InetSocketAddress frontListen,
    InetSocketAddress readyListen,
    InetSocketAddress controlListen,
    PortRange ports,
    List<InetSocketAddress> seeds,
    boolean bootstrap,
    boolean countsForQuorum,
    ProcessLimits limits,
    Path dataDirectory,
    long heartbeatMillis,
    Set<String> contracts,
    FaultTolerance faultTolerance,
    Bounds bounds) {

  private static final int DEFAULT_HEARTBEAT_MILLIS = 1_200;
  private static final String ZONES_PREFIX = "zones.";
  private static final String SEEDS = "seed_nodes";

  /** Reads and validates a settings file. */
  public static SettingsOutcome load(Path file) {
    try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
      return parse(reader);
    } catch (IOException unreadable) {
      return unreadable(file.toString(), unreadable);
    }
  }

  /** Reads and validates settings. Unknown keys are ignored. Does not close the reader. */
  public static SettingsOutcome parse(Reader source) {
    KeyReader keys;
    try {
      keys = new KeyReader(LiteralProperties.read(source));
    } catch (IOException unreadable) {
      return unreadable("settings", unreadable);
    }
    NodeSettings settings = read(keys);
    if (!keys.problems().isEmpty()) {
      return new SettingsOutcome.Invalid(List.copyOf(keys.problems()));
    }
    return new SettingsOutcome.Valid(settings);
  }

  private static NodeSettings read(KeyReader keys) {
    return new NodeSettings(
        keys.required("node"),
        keys.text("role"),
        keys.requiredAddress("ip"),
        keys.required("zone"),
        keys.text("region"),
        Map.copyOf(keys.withPrefix(ZONES_PREFIX)),
        keys.socketAddress("listen.front"),
        keys.socketAddress("listen.ready"),
        keys.socketAddress("listen.control"),
        keys.requiredPortRange("port_range"),
        readSeeds(keys),
        keys.flag("bootstrap", false),
        keys.flag("counts_for_quorum", false),
        ProcessLimits.read(keys),
        readDataDirectory(keys),
        Math.max(1, keys.integer("heartbeat_ms", DEFAULT_HEARTBEAT_MILLIS)),
        Set.copyOf(keys.list("contracts")),
        FaultTolerance.read(keys),
        Bounds.read(keys));
  }

  private static List<InetSocketAddress> readSeeds(KeyReader keys) {
    keys.required(SEEDS);
    return List.copyOf(keys.socketAddresses(SEEDS));
  }

  private static Path readDataDirectory(KeyReader keys) {
    String directory = keys.text("data_dir");
    return directory.isEmpty() ? null : Path.of(directory);
  }

  private static SettingsOutcome unreadable(String what, IOException cause) {
    String reason = "cannot read " + what + ": " + cause;
    return new SettingsOutcome.Invalid(List.of(new SettingsOutcome.Problem("", reason)));
  }

  /**
   * Returns the region of the machine: as given, or the region of its zone; empty if neither is.
   */
  public String regionOfMachine() {
    return region.isEmpty() ? zones.getOrDefault(zone, "") : region;
  }

  /**
   * Returns what the settings ask for and the deployment cannot give, in words: a valid settings
   * file may tolerate the loss of more zones or regions than control agents can be placed in.
   */
  public List<String> warnings() {
    return faultTolerance.contradictions(zones);
  }
}
