package slateslip.simulation.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.simulation.EventQueue;

/** Passes clients' connections to data planes, and notices late which of them are down. */
final class Ingress {
  private static final long NOTICE_MICROS = 2_000_000;

  private final EventQueue loop;
  private final SplittableRandom random;
  private final List<Entry> entries = new ArrayList<>();

  Ingress(WorldPlan plan, EventQueue loop) {
    this.loop = loop;
    this.random = new SplittableRandom(plan.seed() ^ 0x494e_4752L);
  }

  /** A data plane that takes connections from now on. */
  void add(DataPlaneHost host) {
    entries.add(new Entry(host));
  }

  /** A data plane's condition has changed; the platform sees it later. */
  void changed(DataPlaneHost host) {
    loop.after(
        NOTICE_MICROS,
        () -> {
          for (Entry entry : entries) {
            if (entry.host == host) {
              entry.in = host.condition() == DataPlaneHost.Condition.UP;
            }
          }
        });
  }

  /** The data plane for a new connection, another than the last one if there is one. */
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
        if (entry.in) {
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
    private boolean in = true;

    Entry(DataPlaneHost host) {
      this.host = host;
    }
  }
}
