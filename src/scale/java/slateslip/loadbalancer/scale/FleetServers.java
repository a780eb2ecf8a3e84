package slateslip.loadbalancer.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.loadbalancer.LoadBalancer.Phase;
import slateslip.loadbalancer.LoadBalancer.Server;
import slateslip.loadbalancer.net.Discovery;

/**
 * The list of an experiment as it stands, and its next ordinary changes. Not safe for several
 * threads.
 */
final class FleetServers {
  private final List<ServerEntry> all;
  private final Map<String, ServerEntry> listed = new LinkedHashMap<>();
  private int step;

  /** Begins with these, all of them ready. */
  FleetServers(List<ServerEntry> entries) {
    all = List.copyOf(entries);
    all.forEach(each -> listed.put(each.name(), each));
  }

  /** What is listed now. */
  List<ServerEntry> entries() {
    return List.copyOf(listed.values());
  }

  /** All servers of a zone as they would be listed in that state. */
  List<ServerEntry> zone(String zone, ServerEntry.Status status, long startedAtMs) {
    return all.stream()
        .filter(each -> each.zone().equals(zone))
        .map(each -> each.with(status, startedAtMs))
        .toList();
  }

  /**
   * The next change of an ordinary day: one server after the other drains, goes and comes back as
   * just started.
   *
   * @param nowMs when it starts, in Unix time
   */
  ServerEntry next(long nowMs) {
    ServerEntry server = all.get(all.size() - 1 - step / 3 % all.size());
    ServerEntry.Status status =
        switch (step++ % 3) {
          case 0 -> ServerEntry.Status.TERMINATING;
          case 1 -> ServerEntry.Status.GONE;
          default -> ServerEntry.Status.READY;
        };
    long since = listed.getOrDefault(server.name(), server).sinceMs();
    return server.with(status, status == ServerEntry.Status.READY ? nowMs : since);
  }

  /** Takes changes over. */
  void apply(List<ServerEntry> changed) {
    for (ServerEntry each : changed) {
      if (each.status() == ServerEntry.Status.GONE) {
        listed.remove(each.name());
      } else {
        listed.put(each.name(), each);
      }
    }
  }

  /** What an agent's list has to come to. */
  long fingerprint() {
    return Fingerprint.of(listed.values().stream().map(FleetServers::server).toList());
  }

  private static Server server(ServerEntry entry) {
    Phase phase = entry.status() == ServerEntry.Status.READY ? Phase.READY : Phase.DRAINING;
    return new Server(
        Discovery.stableId(entry.name()),
        0,
        entry.group(),
        0,
        phase,
        entry.weight(),
        1000 * entry.sinceMs());
  }

  /**
   * Servers of that many zones, in turn, at addresses of the loopback interface where nobody
   * listens.
   */
  static List<ServerEntry> made(int count, int zones) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(
          new ServerEntry(
              "s-" + i,
              Addresses.host(9, i) + ":9",
              FleetConfig.zone(i % zones),
              FleetConfig.KIND,
              i % zones,
              ServerEntry.Status.READY,
              1,
              0));
    }
    return Collections.unmodifiableList(entries);
  }
}
