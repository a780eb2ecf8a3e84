package slateslip.simulation.dataplane;

import slateslip.routing.RouterInput;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterInput.ProbeOutcome;
import slateslip.simulation.EventQueue;

/**
 * Sends the health probes of one data plane over the simulated network and passes the outcomes to
 * its router.
 */
final class SimulatedProbes {
  private static final long PROBE_TIMEOUT_MICROS = 1_000_000;

  private final DataPlaneWorld world;
  private final EventQueue loop;
  private final DataPlaneHost host;

  SimulatedProbes(DataPlaneWorld world, DataPlaneHost host) {
    this.world = world;
    this.loop = world.loop();
    this.host = host;
  }

  /** Sends one health probe to a backend instance. */
  void probe(String backendId) {
    world.measurements().probeSent();
    SimulatedBackend backend = world.control().backend(backendId);
    long delay = world.network().delay(host, backend);
    int current = host.incarnation();
    loop.after(delay, () -> arrived(backend, backendId, delay, current));
  }

  private void arrived(SimulatedBackend backend, String id, long delay, int ofIncarnation) {
    ProbeOutcome seen = backend.probe();
    boolean silent = seen == ProbeOutcome.TIMEOUT;
    boolean responds = seen != ProbeOutcome.UNREACHABLE && !silent;
    boolean otherInstance = responds && !backend.id().equals(id);
    ProbeOutcome outcome = otherInstance ? ProbeOutcome.OTHER_INSTANCE : seen;
    BackendLoad load = responds ? backend.load() : null;
    loop.after(
        silent ? PROBE_TIMEOUT_MICROS : delay,
        () -> {
          if (ofIncarnation == host.incarnation()) {
            host.deliver(new RouterInput.ProbeEnded(id, outcome, load));
          }
        });
  }
}
