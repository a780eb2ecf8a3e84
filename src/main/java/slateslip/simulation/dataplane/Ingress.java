package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.simulation.EventQueue;

/**
 * Distributes the connections of clients among the data planes and detects stopped data planes with
 * a delay.
 */
final class Ingress {
  private static final long DETECTION_MICROS = 2_000_000;

  private final EventQueue loop;
  private final SplittableRandom random;
  private final List<Entry> entries = new ArrayList<>();

  Ingress(WorldPlan plan, EventQueue loop) {
    this.loop = loop;
    this.random = new SplittableRandom(plan.seed() ^ 0x494e_4752L);
  }

  /** Adds a data plane that accepts connections from now on. */
  void add(DataPlaneHost host) {
    entries.add(new Entry(host));
  }

  /** Handles a changed condition of a data plane; the ingress applies the change after a delay. */
  void conditionChanged(DataPlaneHost host) {
    loop.after(
        DETECTION_MICROS,
        () -> {
          for (Entry entry : entries) {
            if (entry.host == host) {
              entry.inRotation = host.condition() == DataPlaneHost.Condition.UP;
            }
          }
        });
  }

  /**
   * Picks the data plane for a new connection; avoids the data plane of the previous attempt if
   * there is another choice.
   */
  DataPlaneHost pick(int zone, DataPlaneHost last) {
    List<DataPlaneHost> near = choices(zone);
    if (near.size() > 1) {
      near.remove(last);
    }
    return near.get(random.nextInt(near.size()));
  }

  private List<DataPlaneHost> choices(int zone) {
    List<DataPlaneHost> in = new ArrayList<>();
    List<DataPlaneHost> ofZone = new ArrayList<>();
    List<DataPlaneHost> all = new ArrayList<>();
    for (Entry entry : entries) {
      all.add(entry.host);
      if (entry.host.zone() == zone) {
        ofZone.add(entry.host);
        if (entry.inRotation) {
          in.add(entry.host);
        }
      }
    }
    if (ofZone.isEmpty()) {
      return all;
    }
    return 2 * in.size() < ofZone.size() ? ofZone : in;
  }

  private static final class Entry {
    private final DataPlaneHost host;
    private boolean inRotation = true;

    Entry(DataPlaneHost host) {
      this.host = host;
    }
  }
}
